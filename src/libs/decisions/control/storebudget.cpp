#include "storebudget.h"

#include <algorithm>

namespace Verbena::Decisions {

StoreBudget::StoreBudget(double perSecond, double burst, Core::TimePoint now)
    : m_perSecond(perSecond)
    , m_burst(std::max(1., burst))
    , m_level(m_burst)
    , m_updatedAt(now)
{
}

bool StoreBudget::tryConsume(Core::TimePoint now)
{
    const double level = levelAt(now);
    if (level < 1.) {
        return false;
    }
    m_level = level - 1.;
    m_updatedAt = std::max(now, m_updatedAt);
    return true;
}

Core::TimePoint StoreBudget::nextFree(Core::TimePoint now) const
{
    const double missing = 1. - levelAt(now);
    if (missing <= 0.) {
        return now;
    }
    // One microsecond is added, because rounding down would make a caller return slightly too early again and again.
    return now + std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double>(missing / m_perSecond)) + std::chrono::microseconds(1);
}

double StoreBudget::levelAt(Core::TimePoint now) const
{
    const std::chrono::duration<double> passed = std::max(now, m_updatedAt) - m_updatedAt;
    return std::min(m_burst, m_level + passed.count() * m_perSecond);
}

} // namespace Verbena::Decisions
