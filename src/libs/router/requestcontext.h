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

/// \brief Hears when requests are over.
class RequestListener
{
public:
    virtual ~RequestListener() = default;

    /// \brief The request \a id is over; it must not be destroyed before the loop's iteration ends.
    virtual void requestFinished(const std::string &id) = 0;
};

/// \brief What all requests of a router share.
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
