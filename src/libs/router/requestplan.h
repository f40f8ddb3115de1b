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

/// \brief The validated options from the header fields of a request.
struct RequestOptions
{
    std::string requestClass; ///< Class of the request; "default" if the caller sets none.
    std::uint32_t mark = 0; ///< Shedding order under overload: requests with a higher mark are refused earlier.
    bool isIdempotent = true;
    std::string idempotencyKey; ///< Empty if the caller sets none.
    Core::TimePoint deadline;
};

/// \brief The data of one request that all its attempts share.
struct RequestPlan
{
    std::string id;
    Decisions::RouteQuery query;
    Decisions::AttemptPolicy policy;
    Core::TimePoint deadline;
    std::uint32_t mark = 0;
    Observe::TenantLabel tenant;
    std::optional<Claim> claim; ///< Claim that must be granted before the first attempt.
    TeamLimits::Slot slot; ///< Place among the running requests of the team.
    verbena::wire::Envelope envelope; ///< Dispatch message without the fields that differ between attempts.

    /// \brief Returns the plan for a completion. Errors: NotFound, if the team may not call the model.
    static Core::Result<RequestPlan> forCompletion(const CallerRequest &request,
        const RequestOptions &options,
        const Settings::TeamSettings &team,
        const Settings::InForceSettings &inForce,
        const RouterSettings &settings);

    /// \brief Returns the plan for \a call of the plain service \a service. Errors: NotFound, if the team may not call it.
    static Core::Result<RequestPlan> forServiceCall(const std::string &service,
        const std::string &call,
        const std::string &body,
        const RequestOptions &options,
        const Settings::TeamSettings &team,
        const Settings::InForceSettings &inForce,
        const RouterSettings &settings);
};

/// \brief Returns a random id that is unique across all routers.
std::string newRequestId();

} // namespace Verbena::Router
