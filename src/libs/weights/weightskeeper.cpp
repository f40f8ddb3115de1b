#include "weightskeeper.h"

#include "weightsevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>

namespace Verbena::Weights {

using Decisions::OrderAnswer;
using std::chrono::milliseconds;

namespace {

// Many times the models of the target. Bounds the memory for names from packets of any sender.
constexpr std::size_t maximumModels = 256;

// Changes of declarations are requested again without a pause.
constexpr milliseconds declarationsPollInterval{0};

// Routers send a watch message every 1.2 s. Without one for this time, no router sends announcements.
constexpr milliseconds watchTimeout{3000};

// Interval of reports of an idle engine, from which routers learn its load, and whether it was restarted with old weights.
constexpr milliseconds idleInterval{250};

// Interval at which the whole cache index is published without a change, since routers may have missed it or be new.
constexpr milliseconds wholeCacheInterval{1000};

// Interval of reports while the engine carries out an order; a load takes half a second or more.
constexpr milliseconds busyInterval{100};

// Interval of reports while the engine finishes running requests before an order.
constexpr milliseconds finishingInterval{50};

// Delay after a failed step.
constexpr milliseconds retryDelay{300};

// The engine runs on this host, so an answer that takes longer is lost.
constexpr milliseconds engineTimeout{400};

// Several times the latency of a slow store.
constexpr milliseconds storeTimeout{700};

// Time after which all routers have heard of newer weights, and interval at which a target is compared with the store while one names older ones.
constexpr milliseconds targetCheckInterval{2000};

// Older announcements are treated alike, as their rollout slot has passed; keeps times from an invalid packet within the range of the clock.
constexpr std::chrono::hours maximumAge{1};

std::string millisecondsText(Core::Clock::duration time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

Decisions::WeightsAnnouncement announcementOf(const verbena::wire::WeightsTurn &message, Core::TimePoint now)
{
    if (message.named_ago_us() == 0) {
        return {Core::TimePoint::min(), now};
    }
    constexpr auto most = static_cast<std::uint64_t>(std::chrono::microseconds(maximumAge).count());
    return {now - std::chrono::microseconds(std::min(message.named_ago_us() - 1, most)), now};
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
        if (const std::optional<std::uint64_t> version = server->weights.versionOf(model)) {
            holders.push_back({server->id, *version});
            self = server->address == address ? server->id : self;
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
    , m_decoder(decoder)
    , m_engine(engine)
    , m_news(news)
    , m_cache(loop, caches, settings.engineAddress)
    , m_pace(loop, engine)
    , m_timer(loop, [this] { requestReport(); })
    , m_lease(loop, settings.lease, settings.host, settings.engineAddress, orderRows, [this](Core::TimePoint nextStep) { scheduleReport(nextStep); })
    , m_watchedUntil(loop.now() + watchTimeout)
    , m_watchTimer(loop, [this] { followStoreIfUnwatched(); })
{
    m_news.setWatchObserver([this](const verbena::wire::EngineWatch &watch) { handleWatch(watch); });
    m_watchTimer.startAt(m_watchedUntil);
    scheduleReport(loop.now());
}

WeightsKeeper::~WeightsKeeper()
{
    m_news.setWatchObserver(nullptr);
}

// The time of these announcements is unknown.
void WeightsKeeper::replaceRows(const std::string &table, const Store::RowPage &page)
{
    applyDeclarations(table, page, {Core::TimePoint::min(), m_loop.now()});
}

void WeightsKeeper::changeRows(const std::string &table, const Store::RowPage &page)
{
    applyDeclarations(table, page, {m_loop.now(), m_loop.now()});
}

void WeightsKeeper::applyDeclarations(const std::string &table, const Store::RowPage &page, const Decisions::WeightsAnnouncement &announcement)
{
    if (page.clock.has_value()) {
        m_storeClock.addReading(*page.clock);
    }
    for (const Store::TableRow &row : page.rows) {
        const auto decoded = m_decoder.decode(table, row);
        if (!decoded) {
            continue; // Routers report invalid rows.
        }
        if (const auto *named = std::get_if<Relay::AnnouncedWeights>(&decoded.value())) {
            if (applyRow(*named, row.revision)) {
                plan(named->model, withCommitTime(announcement, row));
            }
        }
    }
}

// The row may have been written some time before it was received, for instance during an outage of the store.
Decisions::WeightsAnnouncement WeightsKeeper::withCommitTime(const Decisions::WeightsAnnouncement &announcement, const Store::TableRow &row) const
{
    const auto age = row.committedAfter.has_value() ? m_storeClock.age(*row.committedAfter, Core::BootClock::now()) : std::nullopt;
    return age.has_value() ? Decisions::WeightsAnnouncement{announcement.receivedAt - *age, announcement.receivedAt} : announcement;
}

void WeightsKeeper::sourceLost(const std::string &table, const Core::Error &error)
{
    Observe::log(declarationsLost, error, {{"table", table}});
}

void WeightsKeeper::sourceRegained(const std::string &table)
{
    Observe::log(declarationsRegained, {{"table", table}});
}

// A row counts by its revision, so the age of a copy does not matter here.
void WeightsKeeper::tableVerified(const std::string &, Store::StoreTime, std::uint64_t)
{
}

void WeightsKeeper::staleAnswerReceived(const std::string &, const Store::StaleAnswer &)
{
}

// A router may have outdated data, so its message alone never lowers a version.
void WeightsKeeper::handleWatch(const verbena::wire::EngineWatch &watch)
{
    m_watchedUntil = m_loop.now() + watchTimeout;
    m_pace.request(watch.pace_path());
    for (const verbena::wire::WeightsTurn &turn : watch.turns()) {
        applySlot(turn);
    }
}

// Routers that started recently or have outdated data may send a later slot than others; the earliest one counts.
void WeightsKeeper::applySlot(const verbena::wire::WeightsTurn &message)
{
    if (!admit(message.model())) {
        return;
    }
    const Decisions::RolloutSlot slot{message.engines(), message.before(), message.done()};
    const Decisions::WeightsAnnouncement announcement = announcementOf(message, m_loop.now());
    const bool isNews = applyAnnouncement({message.model(), message.version()});
    const Target &target = m_targets[message.model()];
    if (message.version() < target.version) {
        checkTarget(message.model(), message.version());
    }
    if (isNews && slot.engines == 0) {
        plan(message.model(), announcement);
    } else if (isNews
        || (isOutOfDate(message.model(), message.version()) && !target.isOrdered && isEarlierSlot(slot, m_settings.pace, announcement, target.loadTime))) {
        planSlot(message.model(), announcement, slot);
    }
}

// Packets may name any models, so that those of the engine displace others.
bool WeightsKeeper::admit(const std::string &model)
{
    if (m_targets.contains(model) || m_targets.size() < maximumModels) {
        return true;
    }
    const auto displaced = std::find_if(m_targets.begin(), m_targets.end(), [this](const auto &target) { return !isServed(target.first); });
    if (displaced == m_targets.end() || !isServed(model)) {
        return false;
    }
    m_targets.erase(displaced);
    return true;
}

// Returns whether the engine serves the model according to its last report.
bool WeightsKeeper::isServed(const std::string &model) const
{
    return m_lastReport.weights.versionOf(model).has_value();
}

void WeightsKeeper::followStoreIfUnwatched()
{
    const bool isWatched = m_loop.now() < m_watchedUntil;
    if (isWatched) {
        m_declarations.reset();
    } else if (m_declarations == nullptr) {
        Store::RowConsumer &consumer = *this;
        m_declarations = std::make_unique<Store::TableFollower>(
            m_loop, m_rows, m_decoder.tables().declarations, declarationsPollInterval, consumer, Store::FollowTimes::within(m_settings.declarationTime));
    }
    m_watchTimer.startAt(isWatched ? m_watchedUntil : m_loop.now() + watchTimeout);
}

// Returns whether the version is new.
bool WeightsKeeper::applyAnnouncement(const Relay::AnnouncedWeights &named)
{
    Target &target = m_targets[named.model];
    if (named.version <= target.version) {
        return false;
    }
    if (!isPending(named.model, target)) {
        target.loadTime = Core::TimePoint::max();
    }
    target.version = named.version;
    target.namedAt = m_loop.now();
    target.isOrdered = false;
    return true;
}

// Returns whether the row changes the version. Of two rows the one with the higher revision counts, also if it names a lower version.
bool WeightsKeeper::applyRow(const Relay::AnnouncedWeights &named, std::uint64_t revision)
{
    const std::uint64_t before = m_targets[named.model].revision;
    if (revision < before) {
        return false;
    }
    const bool isLower = before != 0 && revision > before && named.version < m_targets[named.model].version;
    const bool isChanged = isLower ? withdrawTarget(named) : applyAnnouncement(named);
    Target &target = m_targets[named.model];
    if (target.version == named.version) {
        target.revision = revision;
    }
    return isChanged;
}

// Forgets the version that was named in error together with its rollout slot. Returns true, as the version changes.
bool WeightsKeeper::withdrawTarget(const Relay::AnnouncedWeights &named)
{
    Target &target = m_targets[named.model];
    Observe::log(weightsTargetWithdrawn, {{"model", named.model}, {"version", std::to_string(target.version)}, {"newest", std::to_string(named.version)}});
    target = {};
    return applyAnnouncement(named);
}

// A router that names a lower version long after the higher one either has outdated data or has seen that the higher one was named in error. The store tells.
void WeightsKeeper::checkTarget(const std::string &model, std::uint64_t version)
{
    const Core::TimePoint now = m_loop.now();
    if (now < m_targets[model].namedAt + targetCheckInterval || now < m_nextTargetCheck) {
        return;
    }
    m_nextTargetCheck = now + targetCheckInterval;
    const auto handle = [this, model, version](const Core::Result<Store::RowPage> &page) {
        if (page) {
            handleDeclaredTarget({model, version}, page.value());
        }
    };
    m_rows.readTable(m_decoder.tables().declarations, now + storeTimeout, m_lifetime.guard(handle));
}

void WeightsKeeper::handleDeclaredTarget(const Relay::AnnouncedWeights &told, const Store::RowPage &page)
{
    for (const Store::TableRow &row : page.rows) {
        const auto decoded = m_decoder.decode(m_decoder.tables().declarations, row);
        const auto *named = decoded ? std::get_if<Relay::AnnouncedWeights>(&decoded.value()) : nullptr;
        const auto target = m_targets.find(told.model);
        const bool isSame = named != nullptr && named->model == told.model && named->version == told.version;
        if (isSame && target != m_targets.end() && told.version < target->second.version && row.revision > target->second.revision) {
            withdrawTarget(told);
            m_targets[told.model].revision = row.revision;
            plan(told.model, {Core::TimePoint::min(), m_loop.now()});
        }
    }
}

// Returns whether the engine still waits for its rollout slot or the order. The next version then uses the same slot.
bool WeightsKeeper::isPending(const std::string &model, const Target &target) const
{
    return !target.isOrdered && isOutOfDate(model, target.version);
}

// Returns whether the engine does not have these weights according to its last reports.
bool WeightsKeeper::isOutOfDate(const std::string &model, std::uint64_t version) const
{
    const auto inPlace = m_inPlace.find(model);
    const bool isInPlace = inPlace != m_inPlace.end() && inPlace->second >= version;
    const std::optional<std::uint64_t> served = m_lastReport.weights.versionOf(model);
    return !isInPlace && !(served.has_value() && *served >= version);
}

void WeightsKeeper::plan(const std::string &model, const Decisions::WeightsAnnouncement &announcement)
{
    const auto handle = [this, model, announcement](const Core::Result<Store::RowPage> &page) {
        planWithRegister(model, announcement, page);
    };
    m_rows.readTable(m_decoder.tables().servers, announcement.receivedAt + storeTimeout, m_lifetime.guard(handle));
}

void WeightsKeeper::planWithRegister(const std::string &model, const Decisions::WeightsAnnouncement &announcement, const Core::Result<Store::RowPage> &page)
{
    if (!m_targets.contains(model)) {
        return; // Displaced by another model.
    }
    if (!page) {
        planSlot(model, announcement, Decisions::hashedRolloutSlot(m_settings.engineAddress, m_targets[model].version));
        return;
    }
    std::string self;
    const std::vector<Decisions::WeightsHolder> holders = holdersOf(model, m_decoder.tables().servers, page.value(), m_decoder, m_settings.engineAddress, self);
    const auto slots = Decisions::rolloutSlots(holders, m_targets[model].version);
    const auto own = slots.find(self);
    // An engine that is not registered gets no requests, so it may load at once.
    planSlot(model, announcement, own == slots.end() ? Decisions::RolloutSlot() : own->second);
}

void WeightsKeeper::planSlot(const std::string &model, const Decisions::WeightsAnnouncement &announcement, const Decisions::RolloutSlot &slot)
{
    Target &target = m_targets[model];
    target.loadTime = weightsLoadTime(slot, m_settings.pace, announcement, target.loadTime);
    const Core::TimePoint now = m_loop.now();
    Observe::log(weightsPlanned,
        {{"model", model},
            {"version", std::to_string(target.version)},
            {"engines", std::to_string(slot.engines)},
            {"before", std::to_string(slot.position)},
            {"done", std::to_string(slot.completed)},
            {"named_ms", announcement.isTimeKnown() ? millisecondsText(now - announcement.announcedAt) : ""},
            {"in_ms", millisecondsText(std::max(target.loadTime, now) - now)}});
    // The next report publishes the planned time to the routers.
    scheduleReport(m_loop.now());
}

bool WeightsKeeper::isRequestPending() const
{
    return m_isRequestPending || m_lease.isRequestPending();
}

void WeightsKeeper::scheduleReport(Core::TimePoint time)
{
    if (!isRequestPending()) {
        m_timer.startAt(time);
    }
}

void WeightsKeeper::requestReport()
{
    if (isRequestPending()) {
        return;
    }
    m_isRequestPending = true;
    m_engine.readReport(m_loop.now() + engineTimeout, m_lifetime.guard([this](const Core::Result<EngineReport> &report) { handleReport(report); }));
}

void WeightsKeeper::handleReport(const Core::Result<EngineReport> &report)
{
    m_isRequestPending = false;
    recordSilence(!report, report ? nullptr : &report.error());
    if (report) {
        checkIncarnation(report.value());
    }
    const Core::TimePoint next = report ? orderIfDue(report.value()) : m_loop.now() + retryDelay;
    if (report) {
        m_lastReport = report.value();
    }
    publish(m_lastReport, !report);
    scheduleReport(next);
}

// An engine that was restarted has lost its orders and its cache.
void WeightsKeeper::checkIncarnation(const EngineReport &report)
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
    m_pace.restart();
}

void WeightsKeeper::publish(const EngineReport &report, bool isSilent)
{
    Decisions::EngineStatus status;
    status.isSilent = isSilent;
    status.incarnation = report.incarnation;
    status.weights = report.weights;
    // A pending request may be an order, which new requests would have to wait for.
    status.isLoading = report.isCarryingOutOrder || isRequestPending();
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
    status.pace = m_pace.takePace();
    m_cache.setCapacity(report.totalTokens);
    const Core::TimePoint now = m_loop.now();
    if (m_cache.index().revision() != m_publishedRevision || now >= m_wholeCachePublishedAt + wholeCacheInterval) {
        m_publishedRevision = m_cache.index().revision();
        m_wholeCachePublishedAt = now;
        status.parts = m_cache.index().parts();
    }
    m_news.publish(status);
}

void WeightsKeeper::recordSilence(bool isSilent, const Core::Error *error)
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

// Sends the order that is due, if any, and returns the time of the next report.
Core::TimePoint WeightsKeeper::orderIfDue(const EngineReport &report)
{
    const Core::TimePoint now = m_loop.now();
    if (report.isCarryingOutOrder) {
        return now + busyInterval;
    }
    Core::TimePoint next = now + idleInterval;
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
            return now + finishingInterval;
        }
        order(weights.model, target->second.version, report.acceptedOrders);
        return now + busyInterval;
    }
    return next;
}

void WeightsKeeper::order(const std::string &model, std::uint64_t version, std::uint64_t expectedOrders)
{
    if (!m_lease.mayOrder()) {
        m_lease.obtain();
        return;
    }
    m_isRequestPending = true;
    const auto handle = [this, model, version](OrderAnswer answer) {
        m_isRequestPending = false;
        if (answer == OrderAnswer::Fenced) {
            m_lease.markFenced();
        }
        Target &target = m_targets[model];
        target.isOrdered = target.isOrdered || (answer == OrderAnswer::Done && target.version == version);
        Observe::log(weightsOrdered, {{"model", model}, {"version", std::to_string(version)}, {"answer", std::to_string(static_cast<int>(answer))}});
        scheduleReport(m_loop.now() + (answer == OrderAnswer::Done ? busyInterval : retryDelay));
    };
    const WeightsOrder weightsOrder{model, version, m_settings.host, m_lease.fencingNumber(), expectedOrders, RunningRequests::Continue};
    m_engine.orderWeights(weightsOrder, m_loop.now() + engineTimeout, m_lifetime.guard(handle));
}

} // namespace Verbena::Weights
