#pragma once

#include <cstdint>

namespace Verbena::Standin {

/// \brief A random number from 1 that names one start of a stand-in; JSON readers can hold it exactly.
std::uint64_t newIncarnation();

} // namespace Verbena::Standin
