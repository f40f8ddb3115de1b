#pragma once

#include "requestplan.h"

#include <decisions/routing/routechooser.h>
#include <settings/inforcesettings.h>

#include <chrono>
#include <string>

namespace Verbena::Router {

/// \brief The state of a router as operators see it.
struct RouterStatus
{
    std::string name;
    std::uint64_t incarnation = 0;
    bool isReady = true;
    std::uint64_t settingsRevision = 0;
    std::chrono::microseconds settingsAge{0}; ///< Since this revision came into force here.
    std::string settingsJson; ///< More of the settings; empty where they come from files.
    std::size_t inFlight = 0;
    std::size_t agentLinks = 0;
    std::size_t agentsDown = 0;
    std::size_t connections = 0;
};

/// \brief The JSON text of \a status.
std::string statusJson(const RouterStatus &status);

/// \brief The models that \a team may call, in the form of the OpenAI interface.
std::string modelsJson(const Settings::TeamSettings &team, const Settings::InForceSettings &inForce);

/// \brief The candidates of \a decision with the parts of their scores, best first.
std::string explanationJson(const RequestPlan &plan, const Decisions::RouteDecision &decision, const Decisions::RouteChooser &chooser);

} // namespace Verbena::Router
