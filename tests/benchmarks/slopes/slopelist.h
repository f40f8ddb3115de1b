#pragma once

#include "slope.h"

#include <vector>

namespace Verbena::Bench {

/// \brief Cache index, admission gate and fair queue of an agent.
std::vector<Slope> agentSlopes();

/// \brief Prefix keys and the choice of a backend server at a router.
std::vector<Slope> routerSlopes();

/// \brief What is in force and what a change of it costs, and the histograms of tenants.
std::vector<Slope> settingsSlopes();

/// \brief How long a change of the settings takes to all processes, in virtual time with the real decision objects.
std::vector<Slope> spreadSlopes();

/// \brief Bytes of the messages between processes.
std::vector<Slope> wireSlopes();

} // namespace Verbena::Bench
