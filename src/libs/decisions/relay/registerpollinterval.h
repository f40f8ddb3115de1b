#pragma once

#include <chrono>
#include <cstdint>

namespace Verbena::Decisions {

/// \brief Number of elected routers, which follow the store's tables for all routers. It is large enough that some are left while a third of all routers is
/// lost or refused by the store.
inline constexpr std::uint32_t electedRouterCount = 8;

/// \brief Returns the interval at which each of \a routers routers polls the register of backend servers for changes.
std::chrono::milliseconds registerPollInterval(std::uint32_t routers);

} // namespace Verbena::Decisions
