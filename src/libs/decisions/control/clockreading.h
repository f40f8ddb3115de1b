#pragma once

#include <core/time.h>

namespace Verbena::Decisions {

/// \brief Both clocks of a process, read together: one for its own deadlines, one for what other hosts read.
struct ClockReading
{
    Core::TimePoint now;
    Core::WallTime wall;
};

} // namespace Verbena::Decisions
