#include "weightskeeper.h"

#include "ordertable.h"
#include "weightsevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>

namespace Verbena::Weights {

using Decisions::OrderAnswer;
using std::chrono::milliseconds;

namespace {

// Changes of what operators declare are taken at once.
constexpr milliseconds declarationsPause{0};

// Routers ask every 1.2 s; without any for so long there is none that could tell which weights are named.
constexpr milliseconds watchLifetime{3000};

// How often an engine is looked at: routers learn its load from this, and it may have been restarted with old weights.
constexpr milliseconds idlePeriod{250};

// How often routers are told all that is cached although nothing changed: some of them may have missed it, or be new.
constexpr milliseconds wholePeriod{1000};

// While an order is carried out; a load takes half a second and more.
constexpr milliseconds busyPeriod{100};

// While the engine finishes what it runs before an order.
constexpr milliseconds runsPeriod{50};

// Until a failed step is tried again.
constexpr milliseconds retryPeriod{300};

// The engine runs on this host; an answer that takes longer than this is lost.
constexpr milliseconds engineAnswerTime{400};

// Several times what a slow store takes.
constexpr milliseconds storeAnswerTime{700};

// Beyond it only that a turn has passed matters; keeps a moment from an odd packet within the clock.
constexpr std::chrono::hours longestAge{1};

std::string milliText(Core::Clock::duration time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

Decisions::WeightsAnnouncement namingOf(const verbena::wire::WeightsTurn &told, Core::TimePoint now)
{
    if (told.named_ago_us() == 0) {
        return {Core::TimePoint::min(), now};
    }
    constexpr auto most = static_cast<std::uint64_t>(std::chrono::microseconds(longestAge).count());
    return {now - std::chrono::microseconds(std::min(told.named_ago_us() - 1, most)), now};
}

std::vector<Decisions::WeightsHolder> holdersOf(const std::string &model,
    const std::string &table,
    const Store::RowPage &page,
    const Relay::DeploymentDecoder &decoder,
    const std::string &address,
    std::string &self)
{
    std::vector<Decisions::WeightsHolder> holders;
    for (const Store::TableRow &row : page.rows) {
        const auto decoded = decoder.decode(table, row);
        const auto *server = decoded ? std::get_if<Decisions::RegisteredServer>(&decoded.value()) : nullptr;
        if (server == nullptr || server->isLeaving) {
            continue;
        }
        for (const Decisions::ServedWeights &weights : server->weights) {
            if (weights.model == model) {
                holders.push_back({server->id, weights.version});
                self = server->address == address ? server->id : self;
            }
        }
    }
    return holders;
}

} // namespace

WeightsKeeper::WeightsKeeper(EventLoop::Loop &loop,
    const WeightsSettings &settings,
    Store::RowSource &rows,
    Store::RowStore &orderRows,
    const Relay::DeploymentDecoder &decoder,
    EngineControl &engine,
    Relay::CacheChangeSource &caches,
    NewsPublisher &news)
    : m_loop(loop)
    , m_settings(settings)
    , m_rows(rows)
    , m_orderRows(orderRows)
    , m_decoder(decoder)
    , m_engine(engine)
    , m_news(news)
    , m_cache(loop, caches, settings.engineAddress)
    , m_timer(loop, [this] { look(); })
    , m_lease(settings.lease, {settings.host, true, ""})
    , m_watchedUntil(loop.now() + watchLifetime)
    , m_watchTimer(loop, [this] { followStoreIfUnwatched(); })
{
    m_news.setWatchObserver([this](const verbena::wire::EngineWatch &watch) { takeWatch(watch); });
    m_watchTimer.startAt(m_watchedUntil);
    lookAt(loop.now());
}

WeightsKeeper::~WeightsKeeper()
{
    m_news.setWatchObserver(nullptr);
}

// How long ago these were named is not said.
void WeightsKeeper::replaceRows(const std::string &table, const Store::RowPage &page)
{
    takeDeclarations(table, page, {Core::TimePoint::min(), m_loop.now()});
}

void WeightsKeeper::changeRows(const std::string &table, const Store::RowPage &page)
{
    takeDeclarations(table, page, {m_loop.now(), m_loop.now()});
}

void WeightsKeeper::takeDeclarations(const std::string &table, const Store::RowPage &page, const Decisions::WeightsAnnouncement &naming)
{
    if (page.clock.has_value()) {
        m_storeClock.addReading(*page.clock);
    }
    for (const Store::TableRow &row : page.rows) {
        const auto decoded = m_decoder.decode(table, row);
        if (!decoded) {
            continue; // Routers tell of it; a keeper only reads the names of weights.
        }
        if (const auto *named = std::get_if<Relay::AnnouncedWeights>(&decoded.value())) {
            if (takeNamed(*named)) {
                plan(named->model, dated(naming, row));
            }
        }
    }
}

// The row may have been written a while before it was told, for instance while the store was away.
Decisions::WeightsAnnouncement WeightsKeeper::dated(const Decisions::WeightsAnnouncement &naming, const Store::TableRow &row) const
{
    const auto age = row.committedAfter.has_value() ? m_storeClock.age(*row.committedAfter, Core::BootClock::now()) : std::nullopt;
    return age.has_value() ? Decisions::WeightsAnnouncement{naming.receivedAt - *age, naming.receivedAt} : naming;
}

void WeightsKeeper::sourceLost(const std::string &table, const Core::Error &error)
{
    Observe::log(declarationsLost, error, {{"table", table}});
}

void WeightsKeeper::sourceRegained(const std::string &table)
{
    Observe::log(declarationsRegained, {{"table", table}});
}

// Nothing here is handed on, and what is known of weights only ever rises.
void WeightsKeeper::tableVerified(const std::string &, Store::StoreTime, std::uint64_t)
{
}

void WeightsKeeper::staleAnswerReceived(const std::string &, const Store::StaleAnswer &)
{
}

// A router may be late, so it can only add to what is known.
void WeightsKeeper::takeWatch(const verbena::wire::EngineWatch &watch)
{
    m_watchedUntil = m_loop.now() + watchLifetime;
    for (const verbena::wire::WeightsTurn &turn : watch.turns()) {
        takeTurn(turn);
    }
}

// Routers that started in the middle, or were late, may tell a later turn than others; the earliest one counts.
void WeightsKeeper::takeTurn(const verbena::wire::WeightsTurn &told)
{
    const Decisions::RolloutSlot turn{told.engines(), told.before(), told.done()};
    const Decisions::WeightsAnnouncement naming = namingOf(told, m_loop.now());
    const bool isNews = takeNamed({told.model(), told.version()});
    const Target &target = m_targets[told.model()];
    if (isNews && turn.engines == 0) {
        plan(told.model(), naming);
    } else if (isNews || (isOutOfDate(told.model(), told.version()) && !target.isOrdered && isEarlierSlot(turn, m_settings.pace, naming, target.loadTime))) {
        planTurn(told.model(), naming, turn);
    }
}

void WeightsKeeper::followStoreIfUnwatched()
{
    const bool isWatched = m_loop.now() < m_watchedUntil;
    if (isWatched) {
        m_declarations.reset();
    } else if (m_declarations == nullptr) {
        Store::RowConsumer &consumer = *this;
        m_declarations = std::make_unique<Store::TableFollower>(
            m_loop, m_rows, m_decoder.tables().declarations, declarationsPause, consumer, Store::FollowTimes::within(m_settings.declarationTime));
    }
    m_watchTimer.startAt(isWatched ? m_watchedUntil : m_loop.now() + watchLifetime);
}

// Returns whether it is news.
bool WeightsKeeper::takeNamed(const Relay::AnnouncedWeights &named)
{
    Target &target = m_targets[named.model];
    if (named.version <= target.version) {
        return false;
    }
    if (!isOwed(named.model, target)) {
        target.loadTime = Core::TimePoint::max();
    }
    target.version = named.version;
    target.isOrdered = false;
    return true;
}

// Whether the engine still waits for its turn, or for the order after it. The next version then takes that turn.
bool WeightsKeeper::isOwed(const std::string &model, const Target &target) const
{
    return !target.isOrdered && isOutOfDate(model, target.version);
}

// Whether the engine lacks these weights, as far as is known.
bool WeightsKeeper::isOutOfDate(const std::string &model, std::uint64_t version) const
{
    const auto inPlace = m_inPlace.find(model);
    const bool isInPlace = inPlace != m_inPlace.end() && inPlace->second >= version;
    const std::vector<Decisions::ServedWeights> &served = m_lastReport.weights;
    return !isInPlace && std::none_of(served.begin(), served.end(), [&](const Decisions::ServedWeights &weights) {
        return weights.model == model && weights.version >= version;
    });
}

void WeightsKeeper::plan(const std::string &model, const Decisions::WeightsAnnouncement &naming)
{
    const auto take = [this, model, naming](const Core::Result<Store::RowPage> &page) {
        planAmong(model, naming, page);
    };
    m_rows.readTable(m_decoder.tables().servers, naming.receivedAt + storeAnswerTime, m_lifetime.guard(take));
}

void WeightsKeeper::planAmong(const std::string &model, const Decisions::WeightsAnnouncement &naming, const Core::Result<Store::RowPage> &page)
{
    if (!page) {
        planTurn(model, naming, Decisions::hashedRolloutSlot(m_settings.engineAddress, m_targets[model].version));
        return;
    }
    std::string self;
    const std::vector<Decisions::WeightsHolder> holders = holdersOf(model, m_decoder.tables().servers, page.value(), m_decoder, m_settings.engineAddress, self);
    const auto turns = Decisions::rolloutSlots(holders, m_targets[model].version);
    const auto own = turns.find(self);
    // An engine that is not registered serves nobody who would lose by a load at once.
    planTurn(model, naming, own == turns.end() ? Decisions::RolloutSlot() : own->second);
}

void WeightsKeeper::planTurn(const std::string &model, const Decisions::WeightsAnnouncement &naming, const Decisions::RolloutSlot &turn)
{
    Target &target = m_targets[model];
    target.loadTime = weightsLoadTime(turn, m_settings.pace, naming, target.loadTime);
    const Core::TimePoint now = m_loop.now();
    Observe::log(weightsPlanned,
        {{"model", model},
            {"version", std::to_string(target.version)},
            {"engines", std::to_string(turn.engines)},
            {"before", std::to_string(turn.position)},
            {"done", std::to_string(turn.completed)},
            {"named_ms", naming.isTimeKnown() ? milliText(now - naming.announcedAt) : ""},
            {"in_ms", milliText(std::max(target.loadTime, now) - now)}});
    // Routers learn of the plan at once.
    lookAt(m_loop.now());
}

void WeightsKeeper::lookAt(Core::TimePoint moment)
{
    if (!m_isLooking) {
        m_timer.startAt(moment);
    }
}

void WeightsKeeper::look()
{
    if (m_isLooking) {
        return;
    }
    m_isLooking = true;
    m_engine.readReport(m_loop.now() + engineAnswerTime, m_lifetime.guard([this](const Core::Result<EngineReport> &report) { takeReport(report); }));
}

void WeightsKeeper::takeReport(const Core::Result<EngineReport> &report)
{
    m_isLooking = false;
    noteSilence(!report, report ? nullptr : &report.error());
    if (report) {
        noteIncarnation(report.value());
    }
    const Core::TimePoint next = report ? act(report.value()) : m_loop.now() + retryPeriod;
    if (report) {
        m_lastReport = report.value();
    }
    publish(m_lastReport, !report);
    lookAt(next);
}

// An engine that started again has forgotten its orders and its cache.
void WeightsKeeper::noteIncarnation(const EngineReport &report)
{
    const std::uint64_t before = m_lastReport.incarnation;
    if (before == 0 || report.incarnation == 0 || report.incarnation == before) {
        return;
    }
    Observe::log(engineRestarted, {{"before", std::to_string(before)}, {"now", std::to_string(report.incarnation)}});
    m_inPlace.clear();
    for (auto &[model, target] : m_targets) {
        target.isOrdered = false;
    }
    m_cache.restart();
}

void WeightsKeeper::publish(const EngineReport &report, bool isSilent)
{
    Decisions::EngineStatus status;
    status.isSilent = isSilent;
    status.incarnation = report.incarnation;
    status.weights = report.weights;
    // An order that is on its way counts as carried out: requests that come now would wait for it.
    status.isLoading = report.isCarryingOutOrder || m_isLooking;
    for (const Decisions::ServedWeights &weights : report.weights) {
        const auto target = m_targets.find(weights.model);
        if (target != m_targets.end() && weights.version < target->second.version && target->second.loadTime != Core::TimePoint::max()) {
            status.loadTime = target->second.loadTime;
        }
    }
    status.running = report.running;
    status.waiting = report.waiting;
    status.usedTokens = report.usedTokens;
    status.totalTokens = report.totalTokens;
    m_cache.setCapacity(report.totalTokens);
    const Core::TimePoint now = m_loop.now();
    if (m_cache.index().revision() != m_publishedRevision || now >= m_publishedWhole + wholePeriod) {
        m_publishedRevision = m_cache.index().revision();
        m_publishedWhole = now;
        status.parts = m_cache.index().parts();
    }
    m_news.publish(status);
}

void WeightsKeeper::noteSilence(bool isSilent, const Core::Error *error)
{
    if (isSilent == m_isSilent) {
        return;
    }
    m_isSilent = isSilent;
    if (error != nullptr) {
        Observe::log(engineSilent, *error);
    } else {
        Observe::log(engineSpeaks);
    }
}

// Gives the order that is due, if there is one; returns when to look again.
Core::TimePoint WeightsKeeper::act(const EngineReport &report)
{
    const Core::TimePoint now = m_loop.now();
    if (report.isCarryingOutOrder) {
        return now + busyPeriod;
    }
    Core::TimePoint next = now + idlePeriod;
    for (const Decisions::ServedWeights &weights : report.weights) {
        const auto target = m_targets.find(weights.model);
        if (target == m_targets.end()) {
            continue;
        }
        if (weights.version >= target->second.version) {
            std::uint64_t &inPlace = m_inPlace[weights.model];
            if (inPlace < weights.version) {
                inPlace = weights.version;
                Observe::log(weightsInPlace, {{"model", weights.model}, {"version", std::to_string(weights.version)}});
            }
            continue;
        }
        if (now < target->second.loadTime) {
            next = std::min(next, target->second.loadTime);
            continue;
        }
        if (Decisions::mayDeferLoad(report.running, target->second.loadTime, now)) {
            return now + runsPeriod;
        }
        order(weights.model, target->second.version, report.acceptedOrders);
        return now + busyPeriod;
    }
    return next;
}

void WeightsKeeper::order(const std::string &model, std::uint64_t version, std::uint64_t expectedOrders)
{
    if (!m_lease.mayOrder(Core::BootClock::now())) {
        obtainLease();
        return;
    }
    m_isLooking = true;
    const auto take = [this, model, version](OrderAnswer answer) {
        m_isLooking = false;
        if (answer == OrderAnswer::Fenced) {
            m_lease.markFenced();
        }
        Target &target = m_targets[model];
        target.isOrdered = target.isOrdered || (answer == OrderAnswer::Done && target.version == version);
        Observe::log(weightsOrdered, {{"model", model}, {"version", std::to_string(version)}, {"answer", std::to_string(static_cast<int>(answer))}});
        lookAt(m_loop.now() + (answer == OrderAnswer::Done ? busyPeriod : retryPeriod));
    };
    const WeightsOrder weightsOrder{model, version, m_settings.host, m_lease.fencingNumber(), expectedOrders, RunsOrder::GoOn};
    m_engine.orderWeights(weightsOrder, m_loop.now() + engineAnswerTime, m_lifetime.guard(take));
}

// Asks the store for what is missing to give an order; the engine is looked at again afterwards.
void WeightsKeeper::obtainLease()
{
    const Core::BootTime now = Core::BootClock::now();
    if (!m_lease.isHeld()) {
        commitLease(m_lease.acquisitionWrite(m_settings.engineAddress));
    } else if (m_lease.isHandoverComplete()) {
        confirmLease();
    } else if (m_lease.mayCompleteHandover(now)) {
        commitLease(m_lease.completionWrite(m_settings.engineAddress));
    } else if (const auto wait = m_lease.takeUnreportedWait(now)) {
        Observe::log(orderWaits, {{"engine", m_settings.engineAddress}, {"after", m_lease.holder()->previousHost}, {"in_ms", std::to_string(wait->count())}});
    }
}

void WeightsKeeper::commitLease(const Store::RowWrite &write)
{
    m_isLooking = true;
    const Core::BootTime askedAt = Core::BootClock::now();
    const auto take = [this, write, askedAt](const Store::CommitAnswer &answer) {
        m_isLooking = false;
        takeLeaseAnswer(write, answer, askedAt);
        const bool isAnswered = answer.outcome != Store::CommitOutcome::NotSent;
        lookAt(m_loop.now() + (isAnswered && m_lease.isHeld() ? milliseconds(0) : retryPeriod));
    };
    m_orderRows.commit(orderTable, {write}, m_loop.now() + storeAnswerTime, m_lifetime.guard(take));
}

void WeightsKeeper::takeLeaseAnswer(const Store::RowWrite &write, const Store::CommitAnswer &answer, Core::BootTime askedAt)
{
    switch (answer.outcome) {
    case Store::CommitOutcome::Committed: {
        const bool wasHeld = m_lease.isHeld();
        m_lease.handleCommitted(write, answer.revision, askedAt, Core::BootClock::now());
        if (!wasHeld && m_lease.isHeld()) {
            Observe::log(
                ordersTaken, {{"engine", m_settings.engineAddress}, {"revision", std::to_string(answer.revision)}, {"after", m_lease.holder()->previousHost}});
        }
        return;
    }
    case Store::CommitOutcome::Conflict:
        for (const Store::TableRow &row : answer.current) {
            if (row.key == m_settings.engineAddress) {
                m_lease.handleRow(row, askedAt, Core::BootClock::now());
            }
        }
        if (answer.current.empty()) {
            confirmLease();
        }
        return;
    case Store::CommitOutcome::Unknown:
        // What became of it has to be known before anything else is written.
        confirmLease();
        return;
    case Store::CommitOutcome::NotSent:
        Observe::log(orderRowMissing, {{"engine", m_settings.engineAddress}, {"detail", answer.detail}});
        return;
    }
}

void WeightsKeeper::confirmLease()
{
    m_isLooking = true;
    const Core::BootTime askedAt = Core::BootClock::now();
    const auto take = [this, askedAt](const Core::Result<std::optional<Store::TableRow>> &row) {
        m_isLooking = false;
        if (row) {
            m_lease.handleRow(row.value(), askedAt, Core::BootClock::now());
        } else {
            Observe::log(orderRowMissing, row.error(), {{"engine", m_settings.engineAddress}});
        }
        lookAt(m_loop.now() + (row ? milliseconds(0) : retryPeriod));
    };
    m_orderRows.readRow(orderTable, m_settings.engineAddress, m_loop.now() + storeAnswerTime, m_lifetime.guard(take));
}

} // namespace Verbena::Weights
