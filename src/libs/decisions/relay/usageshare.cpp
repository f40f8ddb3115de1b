#include "usageshare.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Number of routers assumed while it is unknown, for instance after all routers were restarted at once. It is about the maximum of one failure domain.
constexpr std::uint32_t assumedRouters = 100;

} // namespace

UsageShare::UsageShare(double slack, Core::TimePoint start)
    : m_slack(slack)
    , m_start(start)
{
}

void UsageShare::setRouterCount(std::uint32_t count)
{
    m_routerCount = count;
}

void UsageShare::handleOwnerAnswer(const std::string &organisation, Core::TimePoint now)
{
    m_buckets.insert_or_assign(organisation, PrioritizedBucket(now));
}

// The share may be smaller than any request. So a full one grants a request of any size, which then uses up future refills.
UsageVerdict UsageShare::tryConsume(const UsageClaim &claim, Core::TimePoint now)
{
    const double routers = m_routerCount == 0 ? assumedRouters : m_routerCount;
    const BucketSize part{claim.cap.perSecond / routers, (claim.cap.burst + m_slack) / routers};
    PrioritizedBucket &bucket = m_buckets.try_emplace(claim.organisation, m_start).first->second;
    return bucket.tryConsume(claim, std::min(claim.cost, part.capacity), part, now);
}

void UsageShare::refund(const UsageClaim &claim)
{
    const auto found = m_buckets.find(claim.organisation);
    if (found != m_buckets.end()) {
        found->second.refund(claim.cost);
    }
}

} // namespace Verbena::Decisions
