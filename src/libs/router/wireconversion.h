#pragma once

#include <decisions/attempts/attemptaction.h>
#include <decisions/routing/routechooser.h>

#include <verbena.pb.h>

namespace Verbena::Router {

/// \brief Why an agent refused, in the words of the decisions.
Decisions::AttemptRefusal attemptRefusalOf(verbena::wire::RefusalReason reason);

/// \brief How an attempt ended. An engine's own trouble counts as lost, as another engine may do better.
Decisions::AttemptEnd attemptEndOf(const verbena::wire::Ended &ended, bool isCompletion);

Decisions::RouteRefusal routeRefusalOf(const verbena::wire::Refused &refused);

Decisions::LoadReport loadReportOf(const verbena::wire::LoadHint &hint);

/// \brief What the agent says of itself in \a message, or null if it says nothing.
const verbena::wire::LoadHint *loadHintOf(const verbena::wire::Envelope &message);

} // namespace Verbena::Router
