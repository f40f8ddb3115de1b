#include "crashguard.h"

#include "relayevents.h"

#include <decisions/relay/crashrow.h>
#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <utility>

namespace Verbena::Relay {

using Decisions::CrashRecord;
using Decisions::RequestIdentity;
using std::chrono::milliseconds;
using Store::TableRow;

namespace {

constexpr const char *crashTable = "verbena_crashes";

// The other routers hear of crashes by datagram at once; the table is for those that did not.
constexpr milliseconds followPause{300};

// Most requests that were lost with a server are answered elsewhere within it, and nothing need be written of them.
constexpr milliseconds settleTime{1000};

constexpr milliseconds lookPeriod{500};
constexpr milliseconds storeAnswerTime{700};

// A trial elsewhere ends within moments, mostly.
constexpr milliseconds trialTime{500};

// Told to all routers in each look while the store is away.
constexpr std::size_t mostTold = 64;

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
    auto news = CrashNews::create(loop, address, [raw = guard.get()](const TableRow &row) { raw->takeRow(row, "router"); });
    if (!news) {
        return news.error();
    }
    guard->m_news = std::move(news.value());
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
    , m_lost(loop, relay.fleet().servers(), [this](const LostCall &call, const char *proof) { record(call, proof); })
    , m_timer(loop, [this] { look(); })
    , m_follower(loop, source, crashTable, followPause, *this, times)
{
    m_timer.startAt(loop.now() + lookPeriod);
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
    return !m_ledger.isEmpty();
}

bool CrashGuard::isSuspected(const RequestIdentity &request) const
{
    return m_ledger.isSuspected(request);
}

std::uint64_t CrashGuard::noteLost(const LostCall &call, CheckCallback done)
{
    const std::uint64_t number = ++m_lastNumber;
    return m_lost.note(call, number, std::move(done)) ? number : 0;
}

void CrashGuard::record(const LostCall &call, const char *proof)
{
    const CrashRecord crash{call.request, LostCalls::lifeOf(call), call.organisation};
    if (!m_ledger.record(crash, m_loop.now())) {
        return;
    }
    write(crash.request);
    tell({rowOf(crash, false)});
    m_relay.metrics().count("crashes_seen_total");
    Observe::log(crashCounted,
        {{"identity", crash.request.text()},
            {"organisation", crash.organisation},
            {"server", crash.server},
            {"request", call.attemptId},
            {"proof", proof},
            {"told_by", "this router"},
            {"crashes", std::to_string(m_ledger.crashCount(crash.request))}});
}

// A suspicion goes into the table at once, with what others told of it: they may end before they have written it.
void CrashGuard::write(const RequestIdentity &request)
{
    const Core::TimePoint due = m_ledger.isSuspected(request) ? m_loop.now() : m_loop.now() + settleTime;
    for (const CrashRecord &record : m_ledger.records(request)) {
        m_writer.write(Decisions::crashRowKey(record), record.organisation, due);
    }
}

void CrashGuard::noteServed(const RequestIdentity &request)
{
    const std::uint32_t trials = m_ledger.trials(request).count;
    const std::vector<CrashRecord> records = m_ledger.clear(request, m_loop.now());
    if (records.empty()) {
        return;
    }
    std::vector<TableRow> rows;
    for (const CrashRecord &record : records) {
        m_writer.remove(Decisions::crashRowKey(record), m_loop.now() + settleTime);
        rows.push_back(rowOf(record, true));
    }
    if (trials > 0) {
        m_writer.remove(Decisions::trialRowKey(request), m_loop.now() + settleTime);
    }
    tell(rows);
    if (records.size() >= Decisions::CrashHistory::suspicionThreshold) {
        Observe::log(requestCleared, {{"identity", request.text()}, {"crashes", std::to_string(records.size())}, {"trials", std::to_string(trials)}});
    }
}

std::uint64_t CrashGuard::claimTrial(const RequestIdentity &request, TrialCallback done)
{
    const Core::TimePoint now = m_loop.now();
    const Decisions::CrashHistory::Trials trials = m_ledger.trials(request);
    if (now < trials.nextTrialAt) {
        done({false, std::chrono::ceil<milliseconds>(trials.nextTrialAt - now)});
        return 0;
    }
    if (m_isStoreLost || m_claims.contains(request)) {
        done({false, trialTime});
        return 0;
    }
    m_claims[request] = {++m_lastNumber, std::move(done), trials.count + 1};
    const auto take = [this, request](const Store::CommitAnswer &answer) {
        takeClaim(request, answer);
    };
    m_store.commit(
        crashTable, {{Decisions::trialRowKey(request), std::to_string(trials.count + 1), trials.revision}}, now + storeAnswerTime, m_lifetime.guard(take));
    return m_lastNumber;
}

void CrashGuard::takeClaim(const RequestIdentity &request, const Store::CommitAnswer &answer)
{
    const Claim claim = std::move(m_claims[request]);
    m_claims.erase(request);
    followTrials(request, answer, claim.count);
    const bool isGranted = answer.outcome == Store::CommitOutcome::Committed;
    Observe::log(trialDecided,
        {{"identity", request.text()},
            {"granted", isGranted ? "yes" : "no"},
            {"trial", std::to_string(claim.count)},
            {"crashes", std::to_string(m_ledger.crashCount(request))},
            {"detail", answer.detail}});
    m_relay.metrics().count(isGranted ? "trials_granted_total" : "trials_refused_total");
    if (claim.done) {
        claim.done({isGranted, trialTime});
    } else if (isGranted) {
        giveBackTrial(request);
    }
}

void CrashGuard::followTrials(const RequestIdentity &request, const Store::CommitAnswer &answer, std::uint32_t count)
{
    if (answer.outcome == Store::CommitOutcome::Committed) {
        m_ledger.setTrials(request, count, answer.revision, m_loop.now());
        return;
    }
    if (answer.outcome == Store::CommitOutcome::Conflict && answer.current.empty()) {
        m_ledger.removeTrials(request);
    }
    for (const TableRow &row : answer.current) {
        takeRow(row, "store");
    }
}

void CrashGuard::giveBackTrial(const RequestIdentity &request)
{
    const std::uint32_t count = m_ledger.trials(request).count;
    if (count > 1) {
        m_writer.write(Decisions::trialRowKey(request), std::to_string(count - 1), m_loop.now());
    } else {
        m_writer.remove(Decisions::trialRowKey(request), m_loop.now());
        m_ledger.removeTrials(request);
    }
}

void CrashGuard::withdraw(std::uint64_t number)
{
    for (auto &[request, claim] : m_claims) {
        if (claim.number == number) {
            claim.done = nullptr;
        }
    }
    m_lost.withdraw(number);
}

void CrashGuard::replaceRows(const std::string &table, const Store::RowPage &page)
{
    m_mirror.replace(table, page);
    for (const TableRow &row : page.rows) {
        takeRow(row, "store");
    }
}

void CrashGuard::changeRows(const std::string &table, const Store::RowPage &page)
{
    m_mirror.applyChanges(table, page);
    for (const TableRow &row : page.rows) {
        takeRow(row, "store");
    }
}

void CrashGuard::takeRow(const TableRow &row, const char *toldBy)
{
    const auto decoded = Decisions::decodeCrashRow(row.key, row.isDeleted ? "" : row.value);
    if (!decoded) {
        Observe::log(crashRowRefused, decoded.error(), {{"row", row.key}});
        return;
    }
    if (const auto *record = std::get_if<CrashRecord>(&decoded.value())) {
        takeRecord(*record, row.isDeleted, toldBy);
        return;
    }
    const auto &trials = std::get<Decisions::TrialCount>(decoded.value());
    if (row.isDeleted) {
        m_ledger.removeTrials(trials.request);
    } else {
        m_ledger.setTrials(trials.request, trials.count, row.revision, m_loop.now());
    }
}

void CrashGuard::takeRecord(const CrashRecord &record, bool isDeleted, const char *toldBy)
{
    if (isDeleted) {
        m_ledger.retract(record.key(), m_loop.now());
    } else if (m_ledger.record(record, m_loop.now())) {
        Observe::log(crashCounted,
            {{"identity", record.request.text()},
                {"organisation", record.organisation},
                {"server", record.server},
                {"request", ""},
                {"proof", ""},
                {"told_by", toldBy},
                {"crashes", std::to_string(m_ledger.crashCount(record.request))}});
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

void CrashGuard::tell(const std::vector<TableRow> &rows)
{
    m_news->tell(m_relay.routerAddresses(), rows);
}

void CrashGuard::look()
{
    const Core::TimePoint now = m_loop.now();
    m_lost.look(now);
    for (const CrashRecord &expired : m_ledger.expire(now)) {
        if (m_relay.isOneOfFew()) {
            m_writer.remove(Decisions::crashRowKey(expired), now);
            m_writer.remove(Decisions::trialRowKey(expired.request), now);
        }
    }
    if (m_isStoreLost || m_writer.isFailing()) {
        std::vector<TableRow> rows;
        for (const CrashRecord &record : m_ledger.suspectedRecords(mostTold)) {
            rows.push_back(rowOf(record, false));
        }
        tell(rows);
    }
    m_relay.metrics().setGauge("requests_suspected", static_cast<double>(m_ledger.suspectedRequestCount()));
    m_timer.startAt(now + lookPeriod);
}

} // namespace Verbena::Relay
