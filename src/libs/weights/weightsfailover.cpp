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

// Interval at which due steps are determined. Rollout slots are some hundred milliseconds long.
constexpr milliseconds updateInterval{250};

// Several times the latency of a slow store.
constexpr milliseconds storeTimeout{700};

// Delay of the next request to the store after a failure.
constexpr milliseconds storeRetryDelay{400};

// Engines are a few milliseconds away, so an answer that writes longer is lost.
constexpr milliseconds engineTimeout{400};

// Delay of the next request to an engine that is busy or did not answer.
constexpr milliseconds engineRetryDelay{400};

// Duration of most loads, after which the engine is asked whether it has the weights.
constexpr milliseconds expectedLoadTime{1000};

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
    , m_timer(loop, [this] { update(); })
{
    m_timer.startAt(loop.now() + updateInterval);
}

WeightsFailover::~WeightsFailover() = default;

void WeightsFailover::update()
{
    const Core::TimePoint now = m_loop.now();
    m_timer.startAt(now + updateInterval);
    std::vector<OrphanedEngine> orphaned = m_fleet.orphanedEngines(now);
    if (orphaned.empty()) {
        return;
    }
    m_failover.updateEngines(std::move(orphaned), m_fleet.weightsGoals());
    const Decisions::FailoverSteps steps = m_failover.nextSteps(now, BootClock::now());
    const bool maySendToStore = !m_isStoreRequestPending && now >= m_nextStoreRequest;
    // Orders wait for completed handovers, and there are never more handovers than acquired rows.
    if (!steps.handoverCompletions.empty() && maySendToStore) {
        completeHandovers(steps.handoverCompletions);
    } else if (steps.isReadNeeded && maySendToStore) {
        readRows();
    } else if (!steps.acquisitions.empty() && maySendToStore) {
        acquireRows(steps.acquisitions);
    }
    reportWaits(steps.enginesInHandover);
    for (const std::vector<OrphanedEngine> *engines : {&steps.probes, &steps.enginesToOrder}) {
        for (const OrphanedEngine &engine : *engines) {
            requestReport(engine);
        }
    }
}

void WeightsFailover::readRows()
{
    m_isStoreRequestPending = true;
    const Core::BootTime requestedAt = BootClock::now();
    const auto handle = [this, requestedAt](const Core::Result<Store::RowPage> &page) {
        m_isStoreRequestPending = false;
        const Core::TimePoint now = m_loop.now();
        if (!page || page.value().isFromPeer) {
            // The copy of another router may be outdated.
            m_nextStoreRequest = now + storeRetryDelay;
            return;
        }
        m_failover.handleRows(page.value().rows, requestedAt, BootClock::now(), now);
    };
    m_rows.readTable(orderTable, m_loop.now() + storeTimeout, m_lifetime.guard(handle));
}

void WeightsFailover::reportWaits(const std::vector<OrphanedEngine> &engines)
{
    for (const OrphanedEngine &engine : engines) {
        Decisions::OrderLease *lease = m_failover.lease(engine.address);
        if (const auto wait = lease->takeUnreportedWait(BootClock::now())) {
            Observe::log(orderWaits, {{"engine", engine.address}, {"after", lease->holder()->previousHost}, {"in_ms", std::to_string(wait->count())}});
        }
    }
}

void WeightsFailover::acquireRows(const std::vector<Store::RowWrite> &writes)
{
    commit(writes, [this, writes](std::uint64_t revision) {
        for (const Store::RowWrite &row : writes) {
            const auto &holder = m_failover.lease(row.key)->holder();
            Observe::log(ordersTaken, {{"engine", row.key}, {"revision", std::to_string(revision)}, {"after", holder.has_value() ? holder->previousHost : ""}});
        }
    });
}

void WeightsFailover::completeHandovers(const std::vector<Store::RowWrite> &writes)
{
    commit(writes, [](std::uint64_t) {});
}

void WeightsFailover::commit(const std::vector<Store::RowWrite> &writes, const std::function<void(std::uint64_t revision)> &committed)
{
    m_isStoreRequestPending = true;
    const Core::BootTime requestedAt = BootClock::now();
    const auto handleAnswer = [this, writes, committed, requestedAt](const Store::CommitAnswer &answer) {
        m_isStoreRequestPending = false;
        m_failover.handleCommit(writes, answer, requestedAt, BootClock::now());
        if (answer.outcome == Store::CommitOutcome::Committed) {
            committed(answer.revision);
        } else {
            Observe::log(orderRowMissing, {{"engines", std::to_string(writes.size())}, {"detail", answer.detail}});
            m_nextStoreRequest = m_loop.now() + storeRetryDelay;
        }
    };
    m_orderRows.commit(orderTable, writes, m_loop.now() + storeTimeout, m_lifetime.guard(handleAnswer));
}

void WeightsFailover::requestReport(const OrphanedEngine &engine)
{
    const Core::TimePoint deadline = m_loop.now() + engineTimeout;
    m_failover.postponeProbe(engine.address, deadline + engineRetryDelay);
    m_engines.control(engine.address).readReport(deadline, m_lifetime.guard([this, engine](const Core::Result<EngineReport> &report) {
        handleReport(engine, report);
    }));
}

void WeightsFailover::handleReport(const OrphanedEngine &engine, const Core::Result<EngineReport> &report)
{
    if (!report) {
        Observe::log(engineSilent, report.error(), {{"engine", engine.address}});
        return;
    }
    const std::optional<std::uint64_t> served = report.value().weights.versionOf(engine.model);
    if (!served.has_value()) {
        return;
    }
    if (*served >= engine.version) {
        m_fleet.servers().updateWeights(engine.id, engine.model, *served, {Decisions::WeightsSource::Report, 0});
        Observe::log(weightsInPlace, {{"engine", engine.address}, {"model", engine.model}, {"version", std::to_string(*served)}});
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
    const Core::TimePoint deadline = m_loop.now() + engineTimeout;
    m_failover.postponeProbe(engine.address, deadline + engineRetryDelay);
    const WeightsOrder weightsOrder{engine.model, engine.version, m_host, lease->fencingNumber(), acceptedOrders};
    m_engines.control(engine.address).orderWeights(weightsOrder, deadline, m_lifetime.guard([this, engine](OrderAnswer answer) {
        handleOrderAnswer(engine, answer);
    }));
}

void WeightsFailover::handleOrderAnswer(const OrphanedEngine &engine, OrderAnswer answer)
{
    Observe::log(weightsOrdered,
        {{"engine", engine.address},
            {"model", engine.model},
            {"version", std::to_string(engine.version)},
            {"answer", std::to_string(static_cast<int>(answer))}});
    if (answer == OrderAnswer::Fenced) {
        m_failover.lease(engine.address)->markFenced();
    }
    m_failover.postponeProbe(engine.address, m_loop.now() + (answer == OrderAnswer::Done ? expectedLoadTime : engineRetryDelay));
}

} // namespace Verbena::Weights
