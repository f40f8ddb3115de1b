#include "crashguard.h"

#include "relayevents.h"

#include <decisions/relay/crashrow.h>
#include <eventloop/loop.h>
#include <observe/eventlog.h>
#include <observe/fieldvalue.h>

#include <algorithm>
#include <utility>

namespace Verbena::Relay {

using Decisions::CrashRecord;
using Decisions::CrashSubject;
using std::chrono::milliseconds;
using Store::TableRow;

namespace {

constexpr const char *crashTable = "verbena_crashes";

// Poll interval of the table. Datagrams tell the other routers of crashes at once; the table is for those that missed them.
constexpr milliseconds followInterval{300};

// Most requests that were lost with a server are answered elsewhere within this time, so nothing needs to be written for them.
constexpr milliseconds writeDelay{1000};

constexpr milliseconds checkInterval{500};
constexpr milliseconds commitTimeout{700};

// Retry delay while another router may be running a trial; most trials end within this time.
constexpr milliseconds trialDuration{500};

// Maximum number of rows that each periodic check announces to all routers while the store is unavailable.
constexpr std::size_t maximumAnnouncedRows = 64;

TableRow rowOf(const CrashRecord &record, bool isDeleted)
{
    return {Decisions::crashRowKey(record), isDeleted ? "" : record.organisation, 0, isDeleted};
}

} // namespace

Core::Result<std::unique_ptr<CrashGuard>> CrashGuard::create(EventLoop::Loop &loop,
    Store::RowSource &source,
    Store::RowMirror &mirror,
    Store::RowStore &store,
    const Http::Endpoint &address,
    RelayTask &relay,
    const Store::FollowTimes &times)
{
    std::unique_ptr<CrashGuard> guard(new CrashGuard(loop, source, mirror, store, relay, times));
    auto gossip = CrashGossip::create(loop, address, [raw = guard.get()](const TableRow &row) { raw->applyRow(row, "router"); });
    if (!gossip) {
        return gossip.error();
    }
    guard->m_gossip = std::move(gossip.value());
    relay.setCrashControl(guard.get());
    return guard;
}

CrashGuard::CrashGuard(
    EventLoop::Loop &loop, Store::RowSource &source, Store::RowMirror &mirror, Store::RowStore &store, RelayTask &relay, const Store::FollowTimes &times)
    : m_loop(loop)
    , m_mirror(mirror)
    , m_reporter(mirror)
    , m_store(store)
    , m_relay(relay)
    , m_writer(loop, store, crashTable)
    , m_lostCalls(loop, relay.fleet().servers(), [this](const LostCall &call, const char *proof) { record(call, proof); })
    , m_timer(loop, [this] { checkPeriodically(); })
    , m_follower(loop, source, crashTable, followInterval, *this, times)
{
    m_timer.startAt(loop.now() + checkInterval);
}

CrashGuard::~CrashGuard()
{
    m_relay.setCrashControl(nullptr);
}

void CrashGuard::join(TableGossip &gossip)
{
    gossip.follow(m_follower, TableGossip::Urgency::WhenOutdated);
}

void CrashGuard::showAge(TableAgeMonitor &monitor)
{
    monitor.add(crashTable, [this] { return m_follower.age(); });
}

bool CrashGuard::hasRecords() const
{
    return !m_history.isEmpty();
}

bool CrashGuard::isSuspected(const CrashSubject &subject) const
{
    return m_history.isSuspected(subject);
}

std::uint64_t CrashGuard::handleLostCall(const LostCall &call, CheckCallback done)
{
    const std::uint64_t number = ++m_lastNumber;
    return m_lostCalls.check(call, number, std::move(done)) ? number : 0;
}

void CrashGuard::record(const LostCall &call, const char *proof)
{
    std::vector<TableRow> rows;
    for (const CrashSubject &subject : call.subjects) {
        const CrashRecord crash{subject, LostCallChecker::incarnationKey(call), call.organisation};
        if (m_history.record(crash, m_loop.now())) {
            writeRecords(subject);
            rows.push_back(rowOf(crash, false));
            logCrash(crash, call, proof, "this router");
        }
    }
    if (rows.empty()) {
        return;
    }
    announce(rows);
    m_relay.metrics().count("crashes_seen_total");
}

// Many sound parts have a single crash for a moment, so parts are logged once they are suspected.
void CrashGuard::logCrash(const CrashRecord &record, const LostCall &call, const char *proof, const char *source) const
{
    const std::size_t crashes = m_history.crashCount(record.subject);
    const bool isPart = record.subject.kind() == CrashSubject::Kind::PromptPart;
    if (isPart && crashes < Decisions::CrashHistory::suspicionThreshold) {
        return;
    }
    Observe::log(isPart ? partSuspected : crashCounted,
        {{"identity", record.subject.text()},
            {"organisation", record.organisation},
            {"server", record.server},
            {"request", call.attemptId},
            {"proof", proof},
            {"told_by", source},
            {"crashes", std::to_string(crashes)}});
}

// Records of a suspected subject are written at once, including those received from other routers, which may end before they have written them. Each crash
// leaves many sound parts with a single record, which the next answer to any of them clears; these are only sent by datagram.
void CrashGuard::writeRecords(const CrashSubject &subject)
{
    const bool isSuspected = m_history.isSuspected(subject);
    if (!isSuspected && subject.kind() == CrashSubject::Kind::PromptPart) {
        return;
    }
    const Core::TimePoint due = isSuspected ? m_loop.now() : m_loop.now() + writeDelay;
    for (const CrashRecord &record : m_history.records(subject)) {
        m_writer.write(Decisions::crashRowKey(record), record.organisation, due);
    }
}

void CrashGuard::handleSuccess(const std::vector<CrashSubject> &subjects)
{
    std::vector<TableRow> rows;
    for (const CrashSubject &subject : subjects) {
        const std::vector<TableRow> cleared = clear(subject);
        rows.insert(rows.end(), cleared.begin(), cleared.end());
    }
    if (!rows.empty()) {
        announce(rows);
    }
}

// Returns the deleted rows, which the other routers have to know.
std::vector<TableRow> CrashGuard::clear(const CrashSubject &subject)
{
    const std::uint32_t trials = m_history.trials(subject).count;
    const std::vector<CrashRecord> records = m_history.clear(subject, m_loop.now());
    const bool isWritten = subject.kind() == CrashSubject::Kind::Request || records.size() >= Decisions::CrashHistory::suspicionThreshold || trials > 0;
    std::vector<TableRow> rows;
    for (const CrashRecord &record : records) {
        if (isWritten) {
            m_writer.remove(Decisions::crashRowKey(record), m_loop.now() + writeDelay);
        }
        rows.push_back(rowOf(record, true));
    }
    if (!records.empty() && trials > 0) {
        m_writer.remove(Decisions::trialRowKey(subject), m_loop.now() + writeDelay);
    }
    if (records.size() >= Decisions::CrashHistory::suspicionThreshold) {
        Observe::log(requestCleared, {{"identity", subject.text()}, {"crashes", std::to_string(records.size())}, {"trials", std::to_string(trials)}});
    }
    return rows;
}

// All suspects of a request have to be due, but the trial counts for one of them only.
std::uint64_t CrashGuard::claimTrial(const std::vector<CrashSubject> &suspects, TrialCallback done)
{
    const Core::TimePoint now = m_loop.now();
    const CrashSubject subject = m_history.trialSubject(suspects);
    const Core::TimePoint nextTrialAt = m_history.nextTrialTime(suspects);
    if (now < nextTrialAt) {
        done({false, subject, m_history.crashCount(subject), std::chrono::ceil<milliseconds>(nextTrialAt - now)});
        return 0;
    }
    const bool isPending = std::any_of(suspects.begin(), suspects.end(), [this](const CrashSubject &suspect) { return m_pendingTrials.contains(suspect); });
    if (m_isStoreLost || isPending) {
        done({false, subject, m_history.crashCount(subject), trialDuration});
        return 0;
    }
    const std::uint32_t count = m_history.nextTrialCount(subject, suspects);
    m_pendingTrials[subject] = {++m_lastNumber, std::move(done), count};
    const auto handleAnswer = [this, subject](const Store::CommitAnswer &answer) {
        handleTrialAnswer(subject, answer);
    };
    m_store.commit(crashTable,
        {{Decisions::trialRowKey(subject), std::to_string(count), m_history.trials(subject).revision}},
        now + commitTimeout,
        m_lifetime.guard(handleAnswer));
    return m_lastNumber;
}

void CrashGuard::handleTrialAnswer(const CrashSubject &subject, const Store::CommitAnswer &answer)
{
    const PendingTrial pending = std::move(m_pendingTrials[subject]);
    m_pendingTrials.erase(subject);
    updateTrials(subject, answer, pending.count);
    const bool isGranted = answer.outcome == Store::CommitOutcome::Committed;
    Observe::log(trialDecided,
        {{"identity", subject.text()},
            {"granted", Observe::yesOrNo(isGranted)},
            {"trial", std::to_string(pending.count)},
            {"crashes", std::to_string(m_history.crashCount(subject))},
            {"detail", answer.detail}});
    m_relay.metrics().count(isGranted ? "trials_granted_total" : "trials_refused_total");
    if (pending.done) {
        pending.done({isGranted, subject, m_history.crashCount(subject), trialDuration});
    } else if (isGranted) {
        releaseTrial(subject);
    }
}

void CrashGuard::updateTrials(const CrashSubject &subject, const Store::CommitAnswer &answer, std::uint32_t count)
{
    if (answer.outcome == Store::CommitOutcome::Committed) {
        m_history.setTrials(subject, count, answer.revision, m_loop.now());
        return;
    }
    if (answer.outcome == Store::CommitOutcome::Conflict && answer.current.empty()) {
        m_history.removeTrials(subject);
    }
    for (const TableRow &row : answer.current) {
        applyRow(row, "store");
    }
}

void CrashGuard::releaseTrial(const CrashSubject &subject)
{
    const std::uint32_t count = m_history.trials(subject).count;
    if (count > 1) {
        m_writer.write(Decisions::trialRowKey(subject), std::to_string(count - 1), m_loop.now());
    } else {
        m_writer.remove(Decisions::trialRowKey(subject), m_loop.now());
        m_history.removeTrials(subject);
    }
}

void CrashGuard::withdraw(std::uint64_t number)
{
    for (auto &[subject, pending] : m_pendingTrials) {
        if (pending.number == number) {
            pending.done = nullptr;
        }
    }
    m_lostCalls.withdraw(number);
}

void CrashGuard::replaceRows(const std::string &table, const Store::RowPage &page)
{
    m_mirror.replace(table, page);
    for (const TableRow &row : page.rows) {
        applyRow(row, "store");
    }
}

void CrashGuard::changeRows(const std::string &table, const Store::RowPage &page)
{
    m_mirror.applyChanges(table, page);
    for (const TableRow &row : page.rows) {
        applyRow(row, "store");
    }
}

void CrashGuard::applyRow(const TableRow &row, const char *source)
{
    const auto decoded = Decisions::decodeCrashRow(row.key, row.isDeleted ? "" : row.value);
    if (!decoded) {
        Observe::log(crashRowRefused, decoded.error(), {{"row", row.key}});
        return;
    }
    if (const auto *record = std::get_if<CrashRecord>(&decoded.value())) {
        applyRecord(*record, row.isDeleted, source);
        return;
    }
    const auto &trials = std::get<Decisions::TrialCount>(decoded.value());
    if (row.isDeleted) {
        m_history.removeTrials(trials.subject);
    } else {
        m_history.setTrials(trials.subject, trials.count, row.revision, m_loop.now());
    }
}

void CrashGuard::applyRecord(const CrashRecord &record, bool isDeleted, const char *source)
{
    if (isDeleted) {
        m_history.retract(record.key(), m_loop.now());
    } else if (m_history.record(record, m_loop.now())) {
        logCrash(record, {}, "", source);
    }
}

void CrashGuard::sourceLost(const std::string &table, const Core::Error &error)
{
    m_isStoreLost = true;
    m_reporter.handleLost(table, error);
}

void CrashGuard::sourceRegained(const std::string &table)
{
    m_isStoreLost = false;
    m_reporter.handleRegained(table);
}

void CrashGuard::tableVerified(const std::string &table, Store::StoreTime verifiedAt, std::uint64_t coveredRevision)
{
    m_reporter.handleVerified(table, verifiedAt, coveredRevision);
}

void CrashGuard::staleAnswerReceived(const std::string &table, const Store::StaleAnswer &answer)
{
    m_reporter.handleStaleAnswer(table, answer);
}

void CrashGuard::announce(const std::vector<TableRow> &rows)
{
    m_gossip->send(m_relay.routerAddresses(), rows);
}

// Until the store has the records, they are lost with this process. Routers that were not known when a crash was recorded have not been told of it.
void CrashGuard::checkPeriodically()
{
    const Core::TimePoint now = m_loop.now();
    m_lostCalls.checkRegister(now);
    for (const CrashRecord &expired : m_history.expire(now)) {
        if (m_relay.isRandomlyChosen()) {
            m_writer.remove(Decisions::crashRowKey(expired), now);
            m_writer.remove(Decisions::trialRowKey(expired.subject), now);
        }
    }
    if (m_isStoreLost || m_writer.isUnconfirmed()) {
        std::vector<TableRow> rows;
        for (const CrashRecord &record : m_history.suspectedRecords(maximumAnnouncedRows)) {
            rows.push_back(rowOf(record, false));
        }
        announce(rows);
    }
    m_relay.metrics().setGauge("requests_suspected", static_cast<double>(m_history.suspectedCount(CrashSubject::Kind::Request)));
    m_relay.metrics().setGauge("parts_suspected", static_cast<double>(m_history.suspectedCount(CrashSubject::Kind::PromptPart)));
    m_timer.startAt(now + checkInterval);
}

} // namespace Verbena::Relay
