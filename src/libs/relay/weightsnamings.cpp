#include "weightsnamings.h"

#include "relayevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

constexpr const char *recordTable = "verbena_weights";

// Several times what a slow store takes.
constexpr milliseconds storeAnswerTime{700};

// Between two tries at a record, and from the end of a suspension until ages are right again: a small part of the time for which old weights may be used.
constexpr milliseconds lookPeriod{400};

// Of the time between two tries: five in all where the record stays missing.
constexpr std::uint32_t mostDoublings = 3;

// A date that may be further off than this costs callers engines that could still be used, so the store is asked for a better one.
constexpr milliseconds preciseAge{1000};

std::string text(const std::optional<milliseconds> &span)
{
    return span.has_value() ? std::to_string(span->count()) : "";
}

} // namespace

WeightsNamings::WeightsNamings(EventLoop::Loop &loop, Store::RowStore &records, RelayTask &relay, milliseconds longestUse)
    : m_loop(loop)
    , m_records(records)
    , m_relay(relay)
    , m_longestUse(longestUse)
    , m_timer(loop, [this] { proceed(); })
{
}

WeightsNamings::~WeightsNamings() = default;

void WeightsNamings::noteClock(const Store::StoreReading &reading)
{
    m_clock.addReading(reading);
}

void WeightsNamings::take(const NamedWeights &weights, const Store::TableRow &row, const std::string &how)
{
    Model &model = m_models[weights.model];
    if (weights.version <= model.newest) {
        return;
    }
    if (row.committedAfter.has_value()) {
        model.record.add({model.newest, weights.version, *row.committedAfter});
    }
    model.newest = weights.version;
    model.giveUpTime = m_loop.now() + m_longestUse;
    model.nextTry = m_loop.now();
    model.tries = 0;
    model.isAnnounced = false;
    tellFleet(weights.model, model);
    const std::optional<milliseconds> known = age(model);
    Observe::log(weightsNamed,
        {{"model", weights.model},
            {"version", std::to_string(weights.version)},
            {"revision", std::to_string(row.revision)},
            {"learned", how},
            {"age_ms", text(known)}});
    const bool isPrecise = known.has_value() && *known < preciseAge;
    if (isPrecise) {
        announce(model);
    }
    const Step recording = m_relay.isOneOfFew() ? Step::Write : Step::Nothing;
    model.step = isPrecise ? recording : Step::Read;
    proceed();
}

std::optional<milliseconds> WeightsNamings::age(const Model &model) const
{
    if (!model.record.contains(model.newest)) {
        return std::nullopt;
    }
    return m_clock.age(model.record.entries().back().notBefore, Core::BootClock::now());
}

// Between two namings of the record there may have been others of which nobody knows when: the versions below are taken for too old.
void WeightsNamings::tellFleet(const std::string &name, const Model &model)
{
    const Core::TimePoint now = m_loop.now();
    const Core::BootTime bootNow = Core::BootClock::now();
    std::uint64_t before = 0;
    for (const Decisions::DatedWeights &dated : model.record.entries()) {
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

// Agents plan by the age that they are told first, so they hear of a naming once it is dated, or cannot be.
void WeightsNamings::announce(Model &model)
{
    if (!model.isAnnounced) {
        model.isAnnounced = true;
        m_relay.announceWeights();
    }
}

// Also counts ages anew, since the loop's clock stands still while the host is suspended.
void WeightsNamings::proceed()
{
    const Core::TimePoint now = m_loop.now();
    bool isOver = true;
    for (auto &[name, model] : m_models) {
        if (now >= model.giveUpTime) {
            continue;
        }
        isOver = false;
        tellFleet(name, model);
        if (model.isAsking || model.step == Step::Nothing || now < model.nextTry) {
            continue;
        }
        model.nextTry = now + lookPeriod * (1 << std::min(model.tries++, mostDoublings));
        if (model.step == Step::Read) {
            read(name);
        } else {
            write(name);
        }
    }
    if (!isOver) {
        m_timer.startAt(now + lookPeriod);
    }
}

void WeightsNamings::read(const std::string &name)
{
    m_models[name].isAsking = true;
    const auto take = [this, name](const Core::Result<std::optional<Store::TableRow>> &row) {
        takeRecord(name, row);
    };
    m_records.readRow(recordTable, name, m_loop.now() + storeAnswerTime, m_lifetime.guard(take));
}

void WeightsNamings::takeRecord(const std::string &name, const Core::Result<std::optional<Store::TableRow>> &row)
{
    Model &model = m_models[name];
    model.isAsking = false;
    bool isRecorded = false;
    if (!row) {
        Observe::log(weightsRecordFailed, row.error(), {{"model", name}});
    } else if (row.value().has_value()) {
        isRecorded = mergeRow(name, model, *row.value()).contains(model.newest);
    }
    if (model.record.contains(model.newest)) {
        // A date of its own that the record lacks, though perhaps too early, is better than none for who starts later.
        model.step = row && !isRecorded ? Step::Write : Step::Nothing;
        Observe::log(weightsDated, {{"model", name}, {"version", std::to_string(model.newest)}, {"age_ms", text(age(model))}});
    }
    announce(model);
}

// Returns what the row says.
Decisions::WeightsRecord WeightsNamings::mergeRow(const std::string &name, Model &model, const Store::TableRow &row)
{
    const auto record = Decisions::WeightsRecord::decode(row.value);
    model.rowRevision = row.revision;
    if (!record) {
        Observe::log(weightsRecordFailed, record.error(), {{"model", name}});
        return {};
    }
    model.record.merge(record.value());
    tellFleet(name, model);
    return record.value();
}

void WeightsNamings::write(const std::string &name)
{
    Model &model = m_models[name];
    model.isAsking = true;
    const auto take = [this, name, version = model.newest](const Store::CommitAnswer &answer) {
        takeCommit(name, version, answer);
    };
    m_records.commit(recordTable, {{name, model.record.encode(), model.rowRevision}}, m_loop.now() + storeAnswerTime, m_lifetime.guard(take));
}

void WeightsNamings::takeCommit(const std::string &name, std::uint64_t version, const Store::CommitAnswer &answer)
{
    Model &model = m_models[name];
    model.isAsking = false;
    bool isRecorded = answer.outcome == Store::CommitOutcome::Committed;
    if (isRecorded) {
        model.rowRevision = answer.revision;
    }
    // Another router was faster, or recorded an earlier version meanwhile.
    for (const Store::TableRow &row : answer.current) {
        isRecorded = mergeRow(name, model, row).contains(version) || isRecorded;
    }
    if (isRecorded && model.newest == version) {
        model.step = Step::Nothing;
    } else if (!answer.current.empty() && m_loop.now() < model.giveUpTime) {
        write(name);
    } else if (!isRecorded) {
        // Whatever row the store compared with is not known; a conflict that names none says that there is none.
        model.rowRevision = 0;
        Observe::log(weightsRecordFailed, {{"model", name}, {"detail", answer.detail}});
    }
}

} // namespace Verbena::Relay
