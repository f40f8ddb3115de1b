#pragma once

#include <core/result.h>

#include <verbena.pb.h>

#include <string>

namespace Verbena::Agent {

/// \brief Returns the body of the call to an engine for the completion in \a dispatch: streamed, with usage, priority and the text to resume after.
///
/// Organisations share no cached pieces. Errors: InvalidArgument, if the dispatched body is no JSON object.
Core::Result<std::string> completionBody(const verbena::wire::Dispatch &dispatch);

} // namespace Verbena::Agent
