#pragma once

#include <chrono>

namespace Verbena::Core {

/// \brief A clock that never steps and goes on while the host is suspended, unlike Clock.
///
/// For what must not be done after a moment that other hosts count on, however long this one slept.
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<BootClock>;

    static time_point now();
};

/// \brief A moment of BootClock.
using BootTime = BootClock::time_point;

} // namespace Verbena::Core
