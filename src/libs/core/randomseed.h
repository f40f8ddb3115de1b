#pragma once

#include <cstdint>

namespace Verbena::Core {

/// \brief Returns a random seed that differs for each process and each start.
std::uint64_t randomSeed();

} // namespace Verbena::Core
