#include "decayingcount.h"

#include <cmath>

namespace Verbena::Decisions {

namespace {

// Time constant of the decay, in seconds: long enough to tell a warm prefix from a cold one, short enough to follow a change of the
// load within seconds.
constexpr std::chrono::duration<double> timeConstant{20.0};

} // namespace

void DecayingCount::add(Core::TimePoint now)
{
    m_count = at(now) + 1;
    m_updatedAt = now;
}

double DecayingCount::at(Core::TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_updatedAt;
    return m_count == 0 || age.count() <= 0 ? m_count : m_count * std::exp(-age / timeConstant);
}

} // namespace Verbena::Decisions
