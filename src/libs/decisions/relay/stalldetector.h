#pragma once

#include <core/time.h>

#include <chrono>
#include <optional>

namespace Verbena::Decisions {

/// \brief Detects that a process which is active several times a second has stalled: it was suspended or got no processor time.
class StallDetector
{
public:
    explicit StallDetector(Core::TimePoint start);

    /// \brief Records activity at \a now. Returns the time since the last activity if it is longer than any pause of a running process.
    std::optional<std::chrono::milliseconds> recordActivity(Core::TimePoint now);

private:
    Core::TimePoint m_lastActivityAt;
};

} // namespace Verbena::Decisions
