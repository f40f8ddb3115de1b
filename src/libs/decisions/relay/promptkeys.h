#pragma once

#include "fleetchoice.h"

#include <string>

namespace Verbena::Decisions {

/// \brief The pool of one model at one service; services may serve models of the same name.
std::string poolName(const std::string &service, const std::string &model);

/// \brief Fills in by which keys \a choice, whose weights are chosen, finds the prompt of \a query in the fleet and in caches.
void describePrompt(FleetChoice &choice, const FleetQuery &query);

} // namespace Verbena::Decisions
