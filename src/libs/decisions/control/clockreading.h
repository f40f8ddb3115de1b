#pragma once

#include <core/time.h>

namespace Verbena::Decisions {

/// \brief A simultaneous reading of both clocks: the monotonic one for local deadlines and the wall clock for times that other hosts read.
struct ClockReading
{
    Core::TimePoint now;
    Core::WallTime wall;
};

} // namespace Verbena::Decisions
