#include "crashmodel.h"

#include <algorithm>
#include <iterator>

namespace Verbena::Test {

using namespace std::chrono_literals;
using Decisions::CrashRecord;
using Decisions::CrashSubject;

namespace {

constexpr std::size_t routerCount = 5;
constexpr auto step = 50ms;
constexpr auto simulatedTime = 90s;
constexpr auto contactTime = 3s;
constexpr const char *organisation = "dams";
constexpr std::uint64_t rareParts = 12;

// Time from a commit until followers read it.
constexpr auto followDelay = 50ms;

} // namespace

CrashModel::CrashModel(std::uint64_t seed, Kind kind)
    : m_random(seed)
    , m_now(1h)
    , m_routers(routerCount)
    , m_kind(kind)
{
}

CrashModel::Subjects CrashModel::nextCrashing()
{
    if (m_kind == Kind::Request) {
        return {CrashSubject::ofRequest({organisation, "POST", "x", "/p", "bad"})};
    }
    Subjects subjects = nextInnocent();
    subjects.push_back(CrashSubject::ofPromptPart(organisation, "bad"));
    return subjects;
}

CrashModel::Subjects CrashModel::nextInnocent()
{
    if (m_kind == Kind::Request) {
        const CrashSubject poll = CrashSubject::ofRequest({organisation, "GET", "x", "/poll", ""});
        m_innocent.insert(poll);
        return {poll};
    }
    const CrashSubject shared = CrashSubject::ofPromptPart(organisation, "shared");
    const CrashSubject rare = CrashSubject::ofPromptPart(organisation, std::to_string(m_random.next() % rareParts));
    m_innocent.insert(shared);
    m_innocent.insert(rare);
    return {CrashSubject::ofRequest({organisation, "POST", "x", "/p", std::to_string(++m_lastRequest)}), shared, rare};
}

int CrashModel::retries() const
{
    return m_retries;
}

bool CrashModel::reaches(const Router &router) const
{
    return !router.isDisconnected && m_now >= m_storeAvailableAt;
}

void CrashModel::restart(Router &router)
{
    const bool isDisconnected = router.isDisconnected;
    router = Router();
    router.isDisconnected = isDisconnected;
    router.connectedSince = m_now;
}

void CrashModel::injectFault()
{
    const double randomValue = m_random.uniform();
    Router &router = m_routers[m_random.next() % m_routers.size()];
    if (randomValue < 0.02) {
        restart(router);
    } else if (randomValue < 0.025) {
        for (Router &each : m_routers) {
            restart(each);
        }
    } else if (randomValue < 0.04) {
        router.isDisconnected = !router.isDisconnected;
        router.connectedSince = m_now;
    } else if (randomValue < 0.045) {
        m_storeAvailableAt = m_now + std::chrono::milliseconds(m_random.next() % 6000);
        m_storeHealthySince = m_storeAvailableAt;
    }
}

void CrashModel::follow(Router &router)
{
    if (!reaches(router)) {
        return;
    }
    followTrials(router);
    if (router.followedChange == m_changeNumber) {
        return;
    }
    router.followedChange = m_now >= m_changedAt + followDelay ? m_changeNumber : 0;
    std::set<std::pair<CrashSubject, std::string>> present;
    for (const Row &row : m_rows) {
        present.insert(row.record.key());
        if (m_now >= row.visibleTime) {
            router.history.record(row.record, m_now);
            router.followed.insert(row.record.key());
        }
    }
    for (auto key = router.followed.begin(); key != router.followed.end();) {
        const auto current = key++;
        if (!present.contains(*current)) {
            router.history.retract(*current, m_now);
            router.followed.erase(current);
        }
    }
}

void CrashModel::followTrials(Router &router)
{
    for (const auto &[request, trials] : m_trials) {
        router.history.setTrials(request, trials.first, trials.second, m_now);
    }
}

void CrashModel::markRowsChanged()
{
    ++m_changeNumber;
    m_changedAt = m_now;
}

void CrashModel::write(Router &router)
{
    if (!reaches(router)) {
        return;
    }
    for (const CrashRecord &record : router.unwritten) {
        m_rows.push_back({record, m_now + followDelay});
    }
    if (!router.unwritten.empty()) {
        markRowsChanged();
    }
    router.unwritten.clear();
}

void CrashModel::recordCrash(Router &router, const Subjects &subjects, const std::string &server)
{
    for (const CrashSubject &subject : subjects) {
        const CrashRecord record{subject, server, organisation};
        if (router.history.record(record, m_now)) {
            router.unwritten.push_back(record);
        }
    }
}

CrashModel::Subjects CrashModel::suspectsOf(const Router &router, const Subjects &subjects)
{
    Subjects suspects;
    std::copy_if(subjects.begin(), subjects.end(), std::back_inserter(suspects), [&router](const auto &each) { return router.history.isSuspected(each); });
    return suspects;
}

bool CrashModel::mayRun(Router &router, const Subjects &subjects)
{
    const Subjects suspects = suspectsOf(router, subjects);
    return suspects.empty() || claimTrial(router, suspects);
}

bool CrashModel::claimTrial(Router &router, const Subjects &suspects)
{
    const CrashSubject subject = router.history.trialSubject(suspects);
    const auto known = router.history.trials(subject);
    auto &row = m_trials[subject];
    if (!reaches(router) || m_now < router.history.nextTrialTime(suspects) || row.second != known.revision) {
        return false;
    }
    row = {router.history.nextTrialCount(subject, suspects), ++m_revision};
    router.history.setTrials(subject, row.first, row.second, m_now);
    return true;
}

void CrashModel::sendCrashing(Router &router)
{
    const Subjects subjects = nextCrashing();
    if (!mayRun(router, subjects)) {
        return;
    }
    const std::size_t knownCrashes = m_kind == Kind::Request ? 3 : 5;
    const bool isConnected = m_now >= router.connectedSince + contactTime && m_now >= m_storeHealthySince + contactTime && !router.isDisconnected;
    if (m_crashes.size() >= knownCrashes && m_now > m_crashes[knownCrashes - 1] + contactTime && isConnected) {
        ++m_retries;
    }
    m_crashes.push_back(m_now);
    const std::string server = "s" + std::to_string(m_crashes.size());
    recordCrash(router, subjects, server);
    // The same server ran an innocent request for another router, which may still be running to observe the crash.
    recordCrash(m_routers[m_random.next() % m_routers.size()], nextInnocent(), server);
}

void CrashModel::clear(Router &router, const CrashSubject &subject)
{
    for (const CrashRecord &record : router.history.clear(subject, m_now)) {
        std::erase_if(m_rows, [&record](const Row &row) { return row.record.key() == record.key(); });
        markRowsChanged();
    }
    std::erase_if(router.unwritten, [&subject](const CrashRecord &record) { return record.subject == subject; });
    m_trials.erase(subject);
    router.history.removeTrials(subject);
}

void CrashModel::sendInnocent(Router &router, const Subjects &subjects)
{
    if (!reaches(router) || !mayRun(router, subjects)) {
        return;
    }
    for (const CrashSubject &subject : subjects) {
        clear(router, subject);
    }
}

void CrashModel::run()
{
    const Core::TimePoint end = m_now + simulatedTime;
    while (m_now < end) {
        injectFault();
        for (Router &router : m_routers) {
            write(router);
            follow(router);
        }
        sendCrashing(m_routers[m_random.next() % m_routers.size()]);
        sendInnocent(m_routers[m_random.next() % m_routers.size()], nextInnocent());
        m_now += step;
    }
    m_storeAvailableAt = m_now;
    for (Router &router : m_routers) {
        router.isDisconnected = false;
        write(router);
        follow(router);
    }
    m_now += 1h;
    for (Router &router : m_routers) {
        follow(router);
    }
    for (Router &router : m_routers) {
        for (const CrashSubject &subject : m_innocent) {
            sendInnocent(router, {subject});
        }
    }
    for (Router &router : m_routers) {
        follow(router);
    }
}

int CrashModel::routersSuspectingInnocent() const
{
    return static_cast<int>(std::count_if(m_routers.begin(), m_routers.end(), [this](const Router &router) {
        return std::any_of(m_innocent.begin(), m_innocent.end(), [&router](const auto &each) { return router.history.isSuspected(each); });
    }));
}

} // namespace Verbena::Test
