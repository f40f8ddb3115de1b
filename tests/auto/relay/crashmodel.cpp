#include "crashmodel.h"

#include <algorithm>

namespace Verbena::Test {

using namespace std::chrono_literals;
using Decisions::CrashRecord;
using Decisions::RequestIdentity;

namespace {

constexpr std::size_t routerCount = 5;
constexpr auto step = 50ms;
constexpr auto simulatedTime = 90s;
constexpr auto contactTime = 3s;

// Time from a commit until followers read it.
constexpr auto followDelay = 50ms;

} // namespace

CrashModel::CrashModel(std::uint64_t seed)
    : m_random(seed)
    , m_now(1h)
    , m_routers(routerCount)
    , m_crashing(RequestIdentity::of({"dams", "POST", "x", "/p", "bad"}))
    , m_innocent(RequestIdentity::of({"dams", "GET", "x", "/poll", ""}))
{
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
    std::set<std::pair<RequestIdentity, std::string>> present;
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

void CrashModel::recordCrash(Router &router, const RequestIdentity &request, const std::string &server)
{
    const CrashRecord record{request, server, "dams"};
    if (router.history.record(record, m_now)) {
        router.unwritten.push_back(record);
    }
}

bool CrashModel::claimTrial(Router &router, const RequestIdentity &request)
{
    const auto known = router.history.trials(request);
    auto &row = m_trials[request];
    if (!reaches(router) || m_now < known.nextTrialAt || row.second != known.revision) {
        return false;
    }
    row = {known.count + 1, ++m_revision};
    router.history.setTrials(request, row.first, row.second, m_now);
    return true;
}

void CrashModel::sendCrashing(Router &router)
{
    if (router.history.isSuspected(m_crashing) && !claimTrial(router, m_crashing)) {
        return;
    }
    const bool isConnected = m_now >= router.connectedSince + contactTime && m_now >= m_storeHealthySince + contactTime && !router.isDisconnected;
    if (m_crashes.size() >= 3 && m_now > m_crashes[2] + contactTime && isConnected) {
        ++m_retries;
    }
    m_crashes.push_back(m_now);
    const std::string server = "s" + std::to_string(m_crashes.size());
    recordCrash(router, m_crashing, server);
    // The same server ran the innocent request for another router, which may still be running to observe the crash.
    recordCrash(m_routers[m_random.next() % m_routers.size()], m_innocent, server);
}

void CrashModel::clear(Router &router)
{
    for (const CrashRecord &record : router.history.clear(m_innocent, m_now)) {
        std::erase_if(m_rows, [&record](const Row &row) { return row.record.key() == record.key(); });
        markRowsChanged();
    }
    std::erase_if(router.unwritten, [this](const CrashRecord &record) { return record.request == m_innocent; });
    m_trials.erase(m_innocent);
    router.history.removeTrials(m_innocent);
}

void CrashModel::sendInnocent(Router &router)
{
    if (reaches(router) && (!router.history.isSuspected(m_innocent) || claimTrial(router, m_innocent))) {
        clear(router);
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
        sendInnocent(m_routers[m_random.next() % m_routers.size()]);
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
        sendInnocent(router);
    }
    for (Router &router : m_routers) {
        follow(router);
    }
}

int CrashModel::routersSuspectingInnocent() const
{
    return static_cast<int>(std::count_if(m_routers.begin(), m_routers.end(), [this](const Router &router) { return router.history.isSuspected(m_innocent); }));
}

} // namespace Verbena::Test
