#include "weightsfailover.h"

#include "ordertable.h"
#include "weightsevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>

namespace Verbena::Weights {

using Core::BootClock;
using Decisions::OrderAnswer;
using Decisions::OrphanedEngine;
using std::chrono::milliseconds;

namespace {

// Between two looks at what is owed; a turn to load is some hundred milliseconds long.
constexpr milliseconds lookPeriod{250};

// Several times what a slow store takes.
constexpr milliseconds storeAnswerTime{700};

// Until a store that failed is asked again.
constexpr milliseconds storeRetry{400};

// Engines are a few milliseconds away; an answer that takes longer than this is lost.
constexpr milliseconds engineAnswerTime{400};

// Until an engine that is busy or did not answer is looked at again.
constexpr milliseconds engineRetry{400};

// As long as most loads take; then the engine is asked whether it has the weights.
constexpr milliseconds loadTime{1000};

} // namespace

WeightsFailover::WeightsFailover(EventLoop::Loop &loop,
    const FailoverSettings &settings,
    Decisions::RelayFleet &fleet,
    Store::RowSource &rows,
    Store::RowStore &orderRows,
    EngineControls &engines)
    : m_loop(loop)
    , m_host(settings.host)
    , m_fleet(fleet)
    , m_rows(rows)
    , m_orderRows(orderRows)
    , m_engines(engines)
    , m_failover({}, settings.lease, settings.pace, settings.host, settings.seed)
    , m_timer(loop, [this] { look(); })
{
    m_timer.startAt(loop.now() + lookPeriod);
}

WeightsFailover::~WeightsFailover() = default;

void WeightsFailover::look()
{
    const Core::TimePoint now = m_loop.now();
    m_timer.startAt(now + lookPeriod);
    std::vector<OrphanedEngine> orphaned = m_fleet.orphanedEngines(now);
    if (orphaned.empty()) {
        return;
    }
    m_failover.updateEngines(std::move(orphaned), m_fleet.weightsGoals());
    const Decisions::FailoverSteps steps = m_failover.nextSteps(now, BootClock::now());
    const bool mayAskStore = !m_isAskingStore && now >= m_nextQuestion;
    // Orders wait for rows to be settled; there are never more of these than were taken.
    if (!steps.handoverCompletions.empty() && mayAskStore) {
        settle(steps.handoverCompletions);
    } else if (steps.isReadNeeded && mayAskStore) {
        readRows();
    } else if (!steps.acquisitions.empty() && mayAskStore) {
        take(steps.acquisitions);
    }
    tellWaits(steps.enginesInHandover);
    for (const std::vector<OrphanedEngine> *engines : {&steps.probes, &steps.enginesToOrder}) {
        for (const OrphanedEngine &engine : *engines) {
            lookAtEngine(engine);
        }
    }
}

void WeightsFailover::readRows()
{
    m_isAskingStore = true;
    const Core::BootTime askedAt = BootClock::now();
    const auto take = [this, askedAt](const Core::Result<Store::RowPage> &page) {
        m_isAskingStore = false;
        const Core::TimePoint now = m_loop.now();
        if (!page || page.value().isFromPeer) {
            // What another router knows of the rows says nothing of now.
            m_nextQuestion = now + storeRetry;
            return;
        }
        m_failover.handleRows(page.value().rows, askedAt, BootClock::now(), now);
    };
    m_rows.readTable(orderTable, m_loop.now() + storeAnswerTime, m_lifetime.guard(take));
}

void WeightsFailover::tellWaits(const std::vector<OrphanedEngine> &engines)
{
    for (const OrphanedEngine &engine : engines) {
        Decisions::OrderLease *lease = m_failover.lease(engine.address);
        if (const auto wait = lease->takeUnreportedWait(BootClock::now())) {
            Observe::log(orderWaits, {{"engine", engine.address}, {"after", lease->holder()->previousHost}, {"in_ms", std::to_string(wait->count())}});
        }
    }
}

void WeightsFailover::take(const std::vector<Store::RowWrite> &takes)
{
    commit(takes, [this, takes](std::uint64_t revision) {
        for (const Store::RowWrite &row : takes) {
            const auto &holder = m_failover.lease(row.key)->holder();
            Observe::log(ordersTaken, {{"engine", row.key}, {"revision", std::to_string(revision)}, {"after", holder.has_value() ? holder->previousHost : ""}});
        }
    });
}

void WeightsFailover::settle(const std::vector<Store::RowWrite> &settles)
{
    commit(settles, [](std::uint64_t) {});
}

void WeightsFailover::commit(const std::vector<Store::RowWrite> &writes, const std::function<void(std::uint64_t revision)> &committed)
{
    m_isAskingStore = true;
    const Core::BootTime askedAt = BootClock::now();
    const auto noteAnswer = [this, writes, committed, askedAt](const Store::CommitAnswer &answer) {
        m_isAskingStore = false;
        m_failover.handleCommit(writes, answer, askedAt, BootClock::now());
        if (answer.outcome == Store::CommitOutcome::Committed) {
            committed(answer.revision);
        } else {
            Observe::log(orderRowMissing, {{"engines", std::to_string(writes.size())}, {"detail", answer.detail}});
            m_nextQuestion = m_loop.now() + storeRetry;
        }
    };
    m_orderRows.commit(orderTable, writes, m_loop.now() + storeAnswerTime, m_lifetime.guard(noteAnswer));
}

void WeightsFailover::lookAtEngine(const OrphanedEngine &engine)
{
    const Core::TimePoint deadline = m_loop.now() + engineAnswerTime;
    m_failover.postponeProbe(engine.address, deadline + engineRetry);
    m_engines.control(engine.address).readReport(deadline, m_lifetime.guard([this, engine](const Core::Result<EngineReport> &report) {
        takeReport(engine, report);
    }));
}

void WeightsFailover::takeReport(const OrphanedEngine &engine, const Core::Result<EngineReport> &report)
{
    if (!report) {
        Observe::log(engineSilent, report.error(), {{"engine", engine.address}});
        return;
    }
    const std::vector<Decisions::ServedWeights> &served = report.value().weights;
    const auto weights = std::find_if(served.begin(), served.end(), [&engine](const Decisions::ServedWeights &one) { return one.model == engine.model; });
    if (weights == served.end()) {
        return;
    }
    if (weights->version >= engine.version) {
        m_fleet.servers().updateWeights(engine.id, engine.model, weights->version);
        Observe::log(weightsInPlace, {{"engine", engine.address}, {"model", engine.model}, {"version", std::to_string(weights->version)}});
    } else if (!report.value().isCarryingOutOrder) {
        m_failover.markReachable(engine.address, m_loop.now());
        order(engine, report.value().acceptedOrders);
    }
}

void WeightsFailover::order(const OrphanedEngine &engine, std::uint64_t acceptedOrders)
{
    const Decisions::OrderLease *lease = m_failover.lease(engine.address);
    if (lease == nullptr || !lease->mayOrder(BootClock::now())) {
        return;
    }
    const Core::TimePoint deadline = m_loop.now() + engineAnswerTime;
    m_failover.postponeProbe(engine.address, deadline + engineRetry);
    const WeightsOrder weightsOrder{engine.model, engine.version, m_host, lease->fencingNumber(), acceptedOrders};
    m_engines.control(engine.address).orderWeights(weightsOrder, deadline, m_lifetime.guard([this, engine](OrderAnswer answer) {
        takeOrderAnswer(engine, answer);
    }));
}

void WeightsFailover::takeOrderAnswer(const OrphanedEngine &engine, OrderAnswer answer)
{
    Observe::log(weightsOrdered,
        {{"engine", engine.address},
            {"model", engine.model},
            {"version", std::to_string(engine.version)},
            {"answer", std::to_string(static_cast<int>(answer))}});
    if (answer == OrderAnswer::Fenced) {
        m_failover.lease(engine.address)->markFenced();
    }
    m_failover.postponeProbe(engine.address, m_loop.now() + (answer == OrderAnswer::Done ? loadTime : engineRetry));
}

} // namespace Verbena::Weights
