#pragma once

#include "agentlinks.h"
#include "claimservice.h"
#include "overloadlevels.h"
#include "routersettings.h"

#include <decisions/attempts/retrybudget.h>
#include <decisions/routing/routechooser.h>
#include <observe/metrics.h>

#include <string>

namespace Verbena::Router {

/// \brief Is notified when requests are finished.
class RequestListener
{
public:
    virtual ~RequestListener() = default;

    /// \brief Handles that the request \a id is finished; its task must not be destroyed before the current iteration of the loop ends.
    virtual void requestFinished(const std::string &id) = 0;
};

/// \brief The objects that all requests of a router share.
struct RequestContext
{
    EventLoop::Loop &loop;
    const RouterSettings &settings;
    Decisions::RouteChooser &chooser;
    Decisions::RetryBudget &budget;
    OverloadLevels &overload;
    AgentLinks &links;
    ClaimService &claims;
    Observe::Metrics &metrics;
    RequestListener &listener;
};

} // namespace Verbena::Router
