#pragma once

#include <cstdint>

namespace Verbena::Core {

/// \brief A seed that differs in each process and at each start, for the decisions that take one.
std::uint64_t randomSeed();

} // namespace Verbena::Core
