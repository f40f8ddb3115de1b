#pragma once

#include <chrono>

namespace Verbena::Core {

/// \brief A clock that never jumps and, unlike Clock, keeps running while the host is suspended.
///
/// For actions that must not happen after a time that other hosts rely on, even if this host was suspended meanwhile.
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<BootClock>;

    static time_point now();
};

/// \brief A time point of BootClock.
using BootTime = BootClock::time_point;

} // namespace Verbena::Core
