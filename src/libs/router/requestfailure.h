#pragma once

#include "answerwriter.h"
#include "claimservice.h"

namespace Verbena::Router {

/// \brief What the caller is told of a request that was given up.
RequestFailure requestFailureOf(const Decisions::FailRequest &failure);

/// \brief What the caller is told when an engine answered with an error of its own.
RequestFailure rejectionFailure(const verbena::wire::Ended &ended);

/// \brief What the caller is told when its idempotency key was not granted.
RequestFailure claimFailure(const ClaimAnswer &answer);

/// \brief What the caller is told when a plain service answers more than the router keeps.
RequestFailure tooLargeFailure(Decisions::RunState run);

/// \brief An error in the request itself; it has not been run.
RequestFailure invalidRequest(int status, const std::string &code, const std::string &message);

/// \brief A refusal for want of room; it has not been run.
RequestFailure limitFailure(int status, const std::string &code, const std::string &message, std::chrono::microseconds retryAfter);

} // namespace Verbena::Router
