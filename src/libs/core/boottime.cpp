#include "boottime.h"

#include <ctime>

namespace Verbena::Core {

BootClock::time_point BootClock::now()
{
    timespec reading{};
    // Cannot fail: the clock exists on every supported Linux version.
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

} // namespace Verbena::Core
