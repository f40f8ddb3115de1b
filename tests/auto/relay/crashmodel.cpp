#include "crashmodel.h"

#include <algorithm>

namespace Verbena::Test {

using namespace std::chrono_literals;
using Decisions::CrashRecord;
using Decisions::RequestIdentity;

namespace {

constexpr std::size_t routerCount = 5;
constexpr auto step = 50ms;
constexpr auto runTime = 90s;
constexpr auto contactTime = 3s;

// From a commit until a follower has heard of it.
constexpr auto followTime = 50ms;

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
    return !router.isCut && m_now >= m_storeBack;
}

void CrashModel::restart(Router &router)
{
    const bool isCut = router.isCut;
    router = Router();
    router.isCut = isCut;
    router.touchedSince = m_now;
}

void CrashModel::disturb()
{
    const double draw = m_random.uniform();
    Router &router = m_routers[m_random.next() % m_routers.size()];
    if (draw < 0.02) {
        restart(router);
    } else if (draw < 0.025) {
        for (Router &each : m_routers) {
            restart(each);
        }
    } else if (draw < 0.04) {
        router.isCut = !router.isCut;
        router.touchedSince = m_now;
    } else if (draw < 0.045) {
        m_storeBack = m_now + std::chrono::milliseconds(m_random.next() % 6000);
        m_storeSince = m_storeBack;
    }
}

void CrashModel::follow(Router &router)
{
    if (!reaches(router)) {
        return;
    }
    followTrials(router);
    if (router.followedChange == m_change) {
        return;
    }
    router.followedChange = m_now >= m_changedAt + followTime ? m_change : 0;
    std::set<std::pair<RequestIdentity, std::string>> present;
    for (const Row &row : m_rows) {
        present.insert(row.record.key());
        if (m_now >= row.visibleTime) {
            router.ledger.note(row.record, m_now);
            router.followed.insert(row.record.key());
        }
    }
    for (auto key = router.followed.begin(); key != router.followed.end();) {
        const auto current = key++;
        if (!present.contains(*current)) {
            router.ledger.takeBack(*current, m_now);
            router.followed.erase(current);
        }
    }
}

void CrashModel::followTrials(Router &router)
{
    for (const auto &[request, trials] : m_trials) {
        router.ledger.noteTrials(request, trials.first, trials.second, m_now);
    }
}

void CrashModel::noteChange()
{
    ++m_change;
    m_changedAt = m_now;
}

void CrashModel::write(Router &router)
{
    if (!reaches(router)) {
        return;
    }
    for (const CrashRecord &record : router.unwritten) {
        m_rows.push_back({record, m_now + followTime});
    }
    if (!router.unwritten.empty()) {
        noteChange();
    }
    router.unwritten.clear();
}

void CrashModel::note(Router &router, const RequestIdentity &request, const std::string &server)
{
    const CrashRecord record{request, server, "dams"};
    if (router.ledger.note(record, m_now)) {
        router.unwritten.push_back(record);
    }
}

bool CrashModel::claimTrial(Router &router, const RequestIdentity &request)
{
    const auto known = router.ledger.trials(request);
    auto &row = m_trials[request];
    if (!reaches(router) || m_now < known.nextTime || row.second != known.revision) {
        return false;
    }
    row = {known.count + 1, ++m_revision};
    router.ledger.noteTrials(request, row.first, row.second, m_now);
    return true;
}

void CrashModel::sendCrashing(Router &router)
{
    if (router.ledger.isSuspected(m_crashing) && !claimTrial(router, m_crashing)) {
        return;
    }
    const bool isInTouch = m_now >= router.touchedSince + contactTime && m_now >= m_storeSince + contactTime && !router.isCut;
    if (m_crashes.size() >= 3 && m_now > m_crashes[2] + contactTime && isInTouch) {
        ++m_retries;
    }
    m_crashes.push_back(m_now);
    const std::string server = "s" + std::to_string(m_crashes.size());
    note(router, m_crashing, server);
    // The same server ran the innocent request for another router, which may still be there to see it.
    note(m_routers[m_random.next() % m_routers.size()], m_innocent, server);
}

void CrashModel::clear(Router &router)
{
    for (const CrashRecord &record : router.ledger.clear(m_innocent, m_now)) {
        std::erase_if(m_rows, [&record](const Row &row) { return row.record.key() == record.key(); });
        noteChange();
    }
    std::erase_if(router.unwritten, [this](const CrashRecord &record) { return record.request == m_innocent; });
    m_trials.erase(m_innocent);
    router.ledger.forgetTrials(m_innocent);
}

void CrashModel::sendInnocent(Router &router)
{
    if (reaches(router) && (!router.ledger.isSuspected(m_innocent) || claimTrial(router, m_innocent))) {
        clear(router);
    }
}

void CrashModel::run()
{
    const Core::TimePoint end = m_now + runTime;
    while (m_now < end) {
        disturb();
        for (Router &router : m_routers) {
            write(router);
            follow(router);
        }
        sendCrashing(m_routers[m_random.next() % m_routers.size()]);
        sendInnocent(m_routers[m_random.next() % m_routers.size()]);
        m_now += step;
    }
    m_storeBack = m_now;
    for (Router &router : m_routers) {
        router.isCut = false;
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

int CrashModel::innocentSuspected() const
{
    return static_cast<int>(std::count_if(m_routers.begin(), m_routers.end(), [this](const Router &router) { return router.ledger.isSuspected(m_innocent); }));
}

} // namespace Verbena::Test
