#pragma once

#include <chrono>

namespace Verbena::Core {

/// \brief The clock of deadlines inside one process; it never steps.
using Clock = std::chrono::steady_clock;

/// \brief A moment of Clock. Deadlines are stored as moments, never as durations.
using TimePoint = Clock::time_point;

/// \brief A moment that means something to other hosts; rows of the table service use it.
using WallTime = std::chrono::system_clock::time_point;

} // namespace Verbena::Core
