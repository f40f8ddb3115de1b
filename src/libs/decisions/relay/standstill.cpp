#include "standstill.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Several times the pause between two signs of life, and little beside any span in which requests are counted.
constexpr std::chrono::milliseconds longestSilence{500};

} // namespace

Standstill::Standstill(Core::TimePoint start)
    : m_lastSign(start)
{
}

std::optional<std::chrono::milliseconds> Standstill::note(Core::TimePoint now)
{
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastSign);
    m_lastSign = std::max(now, m_lastSign);
    return silence > longestSilence ? std::optional(silence) : std::nullopt;
}

} // namespace Verbena::Decisions
