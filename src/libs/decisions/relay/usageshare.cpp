#include "usageshare.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Taken for the number of routers while none is known, for instance after all were restarted at once: about what one failure domain has at most.
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

void UsageShare::noteKept(const std::string &organisation, Core::TimePoint now)
{
    m_buckets.insert_or_assign(organisation, UsageBucket(now));
}

// A part may be smaller than any request: a full one lets a request in, which then uses what is to come.
UsageVerdict UsageShare::take(const UsageClaim &claim, Core::TimePoint now)
{
    const double routers = m_routerCount == 0 ? assumedRouters : m_routerCount;
    const BucketSize part{claim.cap.perSecond / routers, (claim.cap.burst + m_slack) / routers};
    UsageBucket &bucket = m_buckets.try_emplace(claim.organisation, m_start).first->second;
    const double level = bucket.level(part, now);
    const double needed = std::min(claim.cost, part.capacity);
    if (level < needed) {
        return {false, timeToFill(needed - level, part.perSecond)};
    }
    bucket.use(claim.cost);
    return {true, {}};
}

void UsageShare::giveBack(const UsageClaim &claim)
{
    const auto known = m_buckets.find(claim.organisation);
    if (known != m_buckets.end()) {
        known->second.use(-claim.cost);
    }
}

} // namespace Verbena::Decisions
