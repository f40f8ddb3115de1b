#include "usagebucket.h"

#include <algorithm>

namespace Verbena::Decisions {

UsageBucket::UsageBucket(Core::TimePoint start)
    : m_refilledAt(start)
{
}

double UsageBucket::level(const BucketSize &size, Core::TimePoint now)
{
    const double seconds = std::chrono::duration<double>(std::max(now, m_refilledAt) - m_refilledAt).count();
    m_level = std::min(size.capacity, m_level + size.perSecond * seconds);
    m_refilledAt = std::max(now, m_refilledAt);
    return m_level;
}

void UsageBucket::consume(double cost)
{
    m_level -= cost;
}

} // namespace Verbena::Decisions
