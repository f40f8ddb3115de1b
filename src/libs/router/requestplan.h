#pragma once

#include "callerrequest.h"
#include "claimservice.h"
#include "teamlimits.h"

#include <core/result.h>
#include <decisions/attempts/attempttracker.h>
#include <decisions/routing/routequery.h>
#include <observe/metrics.h>
#include <settings/inforcesettings.h>

#include <verbena.pb.h>

#include <memory>
#include <optional>
#include <string>

namespace Verbena::Router {

struct RouterSettings;

/// \brief What the header fields of a request say, checked.
struct RequestOptions
{
    std::string requestClass; ///< "default" if the caller names none.
    std::uint32_t mark = 0; ///< Higher is refused earlier.
    bool isIdempotent = true;
    std::string idempotencyKey; ///< Empty if there is none.
    Core::TimePoint deadline;
};

/// \brief Everything about one request that is the same for all its attempts.
struct RequestPlan
{
    std::string id;
    Decisions::RouteQuery query;
    Decisions::AttemptPolicy policy;
    Core::TimePoint deadline;
    std::uint32_t mark = 0;
    Observe::TenantLabel tenant;
    std::optional<Claim> claim; ///< What has to be granted before the first attempt.
    TeamLimits::Slot slot;
    verbena::wire::Envelope envelope; ///< The Dispatch of an attempt, but for what differs between attempts.

    /// \brief The plan for a completion. Errors: NotFound, if the team may not call the model.
    static Core::Result<RequestPlan> forCompletion(const CallerRequest &request,
        const RequestOptions &options,
        const Settings::TeamSettings &team,
        const Settings::InForceSettings &inForce,
        const RouterSettings &settings);

    /// \brief The plan for \a call of the plain service \a service. Errors: NotFound, if the team may not call it.
    static Core::Result<RequestPlan> forServiceCall(const std::string &service,
        const std::string &call,
        const std::string &body,
        const RequestOptions &options,
        const Settings::TeamSettings &team,
        const Settings::InForceSettings &inForce,
        const RouterSettings &settings);
};

/// \brief An id that no other request has, on any router.
std::string newRequestId();

} // namespace Verbena::Router
