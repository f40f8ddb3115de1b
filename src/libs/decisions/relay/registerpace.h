#pragma once

#include <chrono>
#include <cstdint>

namespace Verbena::Decisions {

/// \brief How long each of \a routers waits between two questions for changes of the register.
std::chrono::milliseconds registerPause(std::uint32_t routers);

} // namespace Verbena::Decisions
