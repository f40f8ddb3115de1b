#include "usagebucket.h"

#include <algorithm>

namespace Verbena::Decisions {

UsageBucket::UsageBucket(Core::TimePoint start)
    : m_filledAt(start)
{
}

double UsageBucket::level(const BucketSize &size, Core::TimePoint now)
{
    const double seconds = std::chrono::duration<double>(std::max(now, m_filledAt) - m_filledAt).count();
    m_level = std::min(size.capacity, m_level + size.perSecond * seconds);
    m_filledAt = std::max(now, m_filledAt);
    return m_level;
}

void UsageBucket::use(double cost)
{
    m_level -= cost;
}

} // namespace Verbena::Decisions
