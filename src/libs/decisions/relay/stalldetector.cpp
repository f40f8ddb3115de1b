#include "stalldetector.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Several times the pause between two activities, and short compared with any window in which requests are counted.
constexpr std::chrono::milliseconds stallThreshold{500};

} // namespace

StallDetector::StallDetector(Core::TimePoint start)
    : m_lastActivityAt(start)
{
}

std::optional<std::chrono::milliseconds> StallDetector::recordActivity(Core::TimePoint now)
{
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastActivityAt);
    m_lastActivityAt = std::max(now, m_lastActivityAt);
    return silence > stallThreshold ? std::optional(silence) : std::nullopt;
}

} // namespace Verbena::Decisions
