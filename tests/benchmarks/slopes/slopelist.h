#pragma once

#include "slope.h"

#include <vector>

namespace Verbena::Bench {

/// \brief Cache index, admission gate and fair queue of an agent.
std::vector<Slope> agentSlopes();

/// \brief Prefix keys and the choice of a backend server at a router.
std::vector<Slope> routerSlopes();

/// \brief The histograms of tenants.
std::vector<Slope> metricsSlopes();

/// \brief Bytes of the messages between processes.
std::vector<Slope> wireSlopes();

} // namespace Verbena::Bench
