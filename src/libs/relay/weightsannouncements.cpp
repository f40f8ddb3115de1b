#include "weightsannouncements.h"

#include "relayevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

constexpr const char *recordTable = "verbena_weights";

// Several times as long as a slow store takes to answer.
constexpr milliseconds storeAnswerTimeout{700};

// Initial interval between two attempts at a record, and maximum time after a suspension until ages are correct again: a small part of the time for which
// old weights may be used.
constexpr milliseconds retryInterval{400};

// Maximum number of doublings of the interval between attempts; five attempts in all if the record stays missing.
constexpr std::uint32_t maximumRetryDoublings = 3;

// An announcement time with a larger possible error excludes engines that could still be used, so a better one is requested from the store.
constexpr milliseconds preciseAge{1000};

std::string text(const std::optional<milliseconds> &duration)
{
    return duration.has_value() ? std::to_string(duration->count()) : "";
}

} // namespace

WeightsAnnouncements::WeightsAnnouncements(EventLoop::Loop &loop, Store::RowStore &records, RelayTask &relay, milliseconds maximumUseTime)
    : m_loop(loop)
    , m_records(records)
    , m_relay(relay)
    , m_maximumUseTime(maximumUseTime)
    , m_timer(loop, [this] { runPendingSteps(); })
{
}

WeightsAnnouncements::~WeightsAnnouncements() = default;

void WeightsAnnouncements::addClockReading(const Store::StoreReading &reading)
{
    m_clock.addReading(reading);
}

void WeightsAnnouncements::handleAnnouncement(const AnnouncedWeights &weights, const Store::TableRow &row, const std::string &source)
{
    Model &model = m_models[weights.model];
    if (row.revision < model.revision || (row.revision == model.revision && weights.version <= model.newest)) {
        return;
    }
    model.revision = row.revision;
    if (weights.version == model.newest) {
        return;
    }
    const std::uint64_t before = weights.version < model.newest ? withdraw(weights, model) : model.newest;
    if (row.committedAfter.has_value() && before < weights.version) {
        model.record.add({before, weights.version, *row.committedAfter});
    }
    model.previous = before;
    model.newest = weights.version;
    model.expiryTime = m_loop.now() + m_maximumUseTime;
    model.nextTry = m_loop.now();
    model.tries = 0;
    model.isAnnounced = false;
    updateFleet(weights.model, model);
    const std::optional<milliseconds> knownAge = age(model);
    Observe::log(weightsNamed,
        {{"model", weights.model},
            {"version", std::to_string(weights.version)},
            {"revision", std::to_string(row.revision)},
            {"learned", source},
            {"age_ms", text(knownAge)}});
    const bool isPrecise = knownAge.has_value() && *knownAge < preciseAge;
    if (isPrecise) {
        announce(model);
    }
    const Step recording = m_relay.isRandomlyChosen() ? Step::Write : Step::Nothing;
    model.step = isPrecise ? recording : Step::Read;
    runPendingSteps();
}

// A later row names a lower version if an earlier one was written in error. Returns the newest version up to that of \a weights that was announced before the
// withdrawn ones.
std::uint64_t WeightsAnnouncements::withdraw(const AnnouncedWeights &weights, Model &model)
{
    Observe::log(weightsWithdrawn, {{"model", weights.model}, {"version", std::to_string(model.newest)}, {"newest", std::to_string(weights.version)}});
    const std::uint64_t known = model.previous <= weights.version ? model.previous : 0;
    const std::uint64_t before = std::max(known, model.record.newestUpTo(weights.version));
    model.record.withdrawAbove(weights.version);
    m_relay.fleet().withdrawWeightsAbove(weights.model, weights.version);
    return before;
}

std::optional<milliseconds> WeightsAnnouncements::age(const Model &model) const
{
    const std::optional<Store::StoreTime> notBefore = model.record.notBefore(model.newest);
    return notBefore.has_value() ? m_clock.age(*notBefore, Core::BootClock::now()) : std::nullopt;
}

// Between two announcements in the record there may have been others at unknown times, so the versions below are treated as too old. Versions above the newest
// were withdrawn, or their row is about to come.
void WeightsAnnouncements::updateFleet(const std::string &name, const Model &model)
{
    const Core::TimePoint now = m_loop.now();
    const Core::BootTime bootNow = Core::BootClock::now();
    std::uint64_t before = 0;
    for (const Decisions::DatedWeights &dated : model.record.entries()) {
        if (dated.version > model.newest) {
            break;
        }
        if (dated.after > before) {
            m_relay.fleet().recordWeightsAnnouncement(name, dated.after, Core::TimePoint::min());
        }
        const std::optional<milliseconds> old = m_clock.age(dated.notBefore, bootNow);
        m_relay.fleet().recordWeightsAnnouncement(name, dated.version, old.has_value() ? now - *old : Core::TimePoint::min());
        before = dated.version;
    }
    if (before < model.newest) {
        m_relay.fleet().recordWeightsAnnouncement(name, model.newest, Core::TimePoint::min());
    }
}

// Agents plan by the first age that they receive, so an announcement is sent to them once its time is known or cannot be determined.
void WeightsAnnouncements::announce(Model &model)
{
    if (!model.isAnnounced) {
        model.isAnnounced = true;
        m_relay.announceWeights();
    }
}

// Also recomputes the ages, since the loop's clock stops while the host is suspended.
void WeightsAnnouncements::runPendingSteps()
{
    const Core::TimePoint now = m_loop.now();
    bool isDone = true;
    for (auto &[name, model] : m_models) {
        if (now >= model.expiryTime) {
            continue;
        }
        isDone = false;
        updateFleet(name, model);
        if (model.isRequestPending || model.step == Step::Nothing || now < model.nextTry) {
            continue;
        }
        model.nextTry = now + retryInterval * (1 << std::min(model.tries++, maximumRetryDoublings));
        if (model.step == Step::Read) {
            read(name);
        } else {
            write(name);
        }
    }
    if (!isDone) {
        m_timer.startAt(now + retryInterval);
    }
}

void WeightsAnnouncements::read(const std::string &name)
{
    m_models[name].isRequestPending = true;
    const auto handle = [this, name](const Core::Result<std::optional<Store::TableRow>> &row) {
        handleRecord(name, row);
    };
    m_records.readRow(recordTable, name, m_loop.now() + storeAnswerTimeout, m_lifetime.guard(handle));
}

void WeightsAnnouncements::handleRecord(const std::string &name, const Core::Result<std::optional<Store::TableRow>> &row)
{
    Model &model = m_models[name];
    model.isRequestPending = false;
    bool isRecorded = false;
    if (!row) {
        Observe::log(weightsRecordFailed, row.error(), {{"model", name}});
    } else if (row.value().has_value()) {
        isRecorded = mergeRow(name, model, *row.value()).contains(model.newest);
    }
    if (model.record.contains(model.newest)) {
        // If the record lacks the time that this process found, even one that may be too early is better than none for processes that start later.
        model.step = row && !isRecorded ? Step::Write : Step::Nothing;
        Observe::log(weightsDated, {{"model", name}, {"version", std::to_string(model.newest)}, {"age_ms", text(age(model))}});
    }
    announce(model);
}

// Returns the record in \a row.
Decisions::WeightsRecord WeightsAnnouncements::mergeRow(const std::string &name, Model &model, const Store::TableRow &row)
{
    const auto record = Decisions::WeightsRecord::decode(row.value);
    model.rowRevision = row.revision;
    if (!record) {
        Observe::log(weightsRecordFailed, record.error(), {{"model", name}});
        return {};
    }
    model.record.merge(record.value());
    updateFleet(name, model);
    return record.value();
}

void WeightsAnnouncements::write(const std::string &name)
{
    Model &model = m_models[name];
    model.isRequestPending = true;
    const auto handle = [this, name, version = model.newest](const Store::CommitAnswer &answer) {
        handleCommitAnswer(name, version, answer);
    };
    m_records.commit(recordTable, {{name, model.record.encode(), model.rowRevision}}, m_loop.now() + storeAnswerTimeout, m_lifetime.guard(handle));
}

void WeightsAnnouncements::handleCommitAnswer(const std::string &name, std::uint64_t version, const Store::CommitAnswer &answer)
{
    Model &model = m_models[name];
    model.isRequestPending = false;
    bool isRecorded = answer.outcome == Store::CommitOutcome::Committed;
    if (isRecorded) {
        model.rowRevision = answer.revision;
    }
    // Another router has written the record first, or recorded an earlier version meanwhile.
    for (const Store::TableRow &row : answer.current) {
        isRecorded = mergeRow(name, model, row).contains(version) || isRecorded;
    }
    if (isRecorded && model.newest == version) {
        model.step = Step::Nothing;
    } else if (!answer.current.empty() && m_loop.now() < model.expiryTime) {
        write(name);
    } else if (!isRecorded) {
        // The row with which the store compared is unknown. A conflict without rows means that there is no record.
        model.rowRevision = 0;
        Observe::log(weightsRecordFailed, {{"model", name}, {"detail", answer.detail}});
    }
}

} // namespace Verbena::Relay
