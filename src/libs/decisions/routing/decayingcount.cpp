#include "decayingcount.h"

#include <cmath>

namespace Verbena::Decisions {

namespace {

// Long enough to tell a warm prefix from a cold one, short enough to follow a shift within seconds.
constexpr std::chrono::duration<double> lifetime{20.0};

} // namespace

void DecayingCount::add(Core::TimePoint now)
{
    m_count = at(now) + 1;
    m_noted = now;
}

double DecayingCount::at(Core::TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_noted;
    return m_count == 0 || age.count() <= 0 ? m_count : m_count * std::exp(-age / lifetime);
}

} // namespace Verbena::Decisions
