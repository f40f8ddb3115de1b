#pragma once

#include "requestplan.h"

#include <decisions/routing/routechooser.h>
#include <settings/inforcesettings.h>

#include <chrono>
#include <string>

namespace Verbena::Router {

/// \brief The state of a router as shown to operators at /status.
struct RouterStatus
{
    std::string name;
    std::uint64_t incarnation = 0;
    bool isReady = true;
    std::uint64_t settingsRevision = 0;
    std::chrono::microseconds settingsAge{0}; ///< Time since this process applied the revision.
    std::string settingsJson; ///< Details of the settings as JSON; empty if they come from files.
    std::size_t inFlight = 0;
    std::size_t agentLinks = 0;
    std::size_t agentsDown = 0;
    std::size_t connections = 0;
};

/// \brief Returns \a status as JSON.
std::string statusJson(const RouterStatus &status);

/// \brief Returns the models that \a team may call, in the format of the OpenAI API.
std::string modelsJson(const Settings::TeamSettings &team, const Settings::InForceSettings &inForce);

/// \brief Returns the candidates of \a decision with the components of their scores, best first, as JSON.
std::string explanationJson(const RequestPlan &plan, const Decisions::RouteDecision &decision, const Decisions::RouteChooser &chooser);

} // namespace Verbena::Router
