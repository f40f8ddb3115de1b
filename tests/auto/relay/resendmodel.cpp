#include "resendmodel.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const std::string service = "s";

} // namespace

ResendModel::ResendModel(const ResendLimits &limits, std::size_t routers, std::uint32_t assumedCount)
    : m_limits(limits)
    , m_assumedCount(assumedCount)
    , m_now(Core::TimePoint() + 1h)
{
    while (m_routers.size() < routers) {
        addRouter();
    }
}

void ResendModel::addRouter()
{
    m_routers.push_back({ResendBudget(m_limits, m_assumedCount, m_now), m_assumedCount, m_now, m_now, {}});
}

void ResendModel::kill(std::size_t router, std::chrono::milliseconds downtime)
{
    Router &killed = m_routers[router];
    killed.budget.reset();
    killed.unread.clear();
    killed.startTime = m_now + downtime;
}

void ResendModel::freeze(std::size_t router, std::chrono::milliseconds duration)
{
    m_routers[router].wakeTime = m_now + duration;
}

void ResendModel::setCount(std::size_t router, std::uint32_t count)
{
    m_routers[router].count = count;
    if (m_routers[router].budget.has_value()) {
        m_routers[router].budget->setRouterCount(count);
    }
}

void ResendModel::send(std::size_t router, int count, int tries, ResendPurpose purpose)
{
    Router &target = m_routers[router];
    for (int request = 0; request < count; ++request) {
        m_requests.push_back(m_now);
        if (target.budget.has_value()) {
            target.unread.push_back({tries, purpose});
        }
    }
    read(target);
}

void ResendModel::read(Router &router)
{
    if (!router.budget.has_value() || m_now < router.wakeTime) {
        return;
    }
    for (const UnreadRequest &request : router.unread) {
        router.budget->recordRequest(service, m_now);
        for (int attempt = 0; attempt < request.tries && router.budget->tryConsume(service, request.purpose, m_now); ++attempt) {
            m_resends.push_back(m_now);
        }
    }
    router.unread.clear();
}

void ResendModel::advance(std::chrono::milliseconds step)
{
    m_now += step;
    for (Router &router : m_routers) {
        if (router.budget.has_value() && router.wakeTime > m_now - step && router.wakeTime <= m_now && !router.unread.empty()) {
            router.budget->handleStall(m_now);
        }
        if (!router.budget.has_value() && m_now >= router.startTime) {
            router.budget.emplace(m_limits, router.count, m_now);
        }
        read(router);
    }
}

std::size_t ResendModel::routers() const
{
    return m_routers.size();
}

std::size_t ResendModel::resends() const
{
    return m_resends.size();
}

std::size_t ResendModel::countInWindow(const std::vector<Core::TimePoint> &times, Core::TimePoint end) const
{
    const auto first = std::upper_bound(times.begin(), times.end(), end - m_limits.window);
    return static_cast<std::size_t>(std::upper_bound(times.begin(), times.end(), end) - first);
}

// The window with the most resends ends at one of them.
double ResendModel::excess() const
{
    double worst = -m_limits.slack;
    for (const Core::TimePoint end : m_resends) {
        const std::size_t requests = std::max(
            {countInWindow(m_requests, end), countInWindow(m_requests, end - m_limits.window / 2), countInWindow(m_requests, end - m_limits.window)});
        const double allowed = m_limits.ratio * static_cast<double>(requests) + m_limits.slack;
        worst = std::max(worst, static_cast<double>(countInWindow(m_resends, end)) - allowed);
    }
    return worst;
}

} // namespace Verbena::Decisions
