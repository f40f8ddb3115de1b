#pragma once

#include <cstdint>

namespace Verbena::Standin {

/// \brief Returns a number for this start of a stand-in. It increases with each start and is small enough to be exact in JSON readers (microseconds since the
/// epoch).
std::uint64_t newIncarnation();

} // namespace Verbena::Standin
