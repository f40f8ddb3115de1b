#pragma once

#include "spreadfigures.h"

#include <cstdint>

namespace Verbena::Bench {

/// \brief Spreads \a changes over \a processes in virtual time, at the rate of 60,000 changes a day.
SpreadFigures runVirtually(int processes, int changes, std::uint64_t seed);

} // namespace Verbena::Bench
