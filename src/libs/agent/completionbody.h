#pragma once

#include <core/result.h>

#include <verbena.pb.h>

#include <string>

namespace Verbena::Agent {

/// \brief The body that asks an engine for the completion in \a dispatch: streamed, with usage, priority and what to resume after.
///
/// Cached pieces are kept apart by organisation. Errors: InvalidArgument, if the dispatched body is no JSON object.
Core::Result<std::string> completionBody(const verbena::wire::Dispatch &dispatch);

} // namespace Verbena::Agent
