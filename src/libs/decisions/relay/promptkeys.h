#pragma once

#include "fleetchoice.h"

#include <string>

namespace Verbena::Decisions {

/// \brief Returns the name of the pool of one model at one service; different services may serve models of the same name.
std::string poolName(const std::string &service, const std::string &model);

/// \brief Sets the keys in \a choice, whose weights version is chosen, by which the prompt of \a query is found in the fleet and in caches.
void describePrompt(FleetChoice &choice, const FleetQuery &query);

} // namespace Verbena::Decisions
