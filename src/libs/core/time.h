#pragma once

#include <chrono>

namespace Verbena::Core {

/// \brief The clock for deadlines within one process; it never jumps.
using Clock = std::chrono::steady_clock;

/// \brief A time point of Clock. Deadlines are stored as time points, never as durations.
using TimePoint = Clock::time_point;

/// \brief A time point that is meaningful to other hosts; rows of the table service use it.
using WallTime = std::chrono::system_clock::time_point;

} // namespace Verbena::Core
