#pragma once

#include <chrono>
#include <cstdint>

namespace Verbena::Decisions {

/// \brief Routers that follow the store's tables for all: enough that some are left while a third of all routers is lost or turned away by the store.
inline constexpr std::uint32_t electedRouters = 8;

/// \brief How long each of \a routers waits between two questions for changes of the register.
std::chrono::milliseconds registerPause(std::uint32_t routers);

} // namespace Verbena::Decisions
