#pragma once

#include <decisions/attempts/attemptaction.h>
#include <decisions/routing/routechooser.h>

#include <verbena.pb.h>

namespace Verbena::Router {

/// \brief Converts the \a reason of an agent's refusal.
Decisions::AttemptRefusal attemptRefusalOf(verbena::wire::RefusalReason reason);

/// \brief Converts how an attempt ended. For completions, a failure of the engine itself counts as lost, as another engine may succeed.
Decisions::AttemptEnd attemptEndOf(const verbena::wire::Ended &ended, bool isCompletion);

/// \brief Converts a refusal for the choice of routes.
Decisions::RouteRefusal routeRefusalOf(const verbena::wire::Refused &refused);

/// \brief Converts the load that an agent reported.
Decisions::LoadReport loadReportOf(const verbena::wire::LoadHint &hint);

/// \brief Returns the load report in \a message, or null if there is none.
const verbena::wire::LoadHint *loadHintOf(const verbena::wire::Envelope &message);

} // namespace Verbena::Router
