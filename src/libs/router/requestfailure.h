#pragma once

#include "answerwriter.h"
#include "claimservice.h"

namespace Verbena::Router {

/// \brief Returns the error for the caller of a request that failed.
RequestFailure requestFailureOf(const Decisions::FailRequest &failure);

/// \brief Returns the error for the caller of a request that a backend server rejected.
RequestFailure rejectionFailure(const verbena::wire::Ended &ended);

/// \brief Returns the error for a caller whose idempotency key was not granted.
RequestFailure claimFailure(const ClaimAnswer &answer);

/// \brief Returns the error for an answer of a plain service that exceeds the router's limit.
RequestFailure tooLargeFailure(Decisions::RunState run);

/// \brief Returns the error for a request that is given up since the router ends.
RequestFailure shutdownFailure(Decisions::RunState run);

/// \brief Returns the error for an invalid request, which has not been run.
RequestFailure invalidRequest(int status, const std::string &code, const std::string &message);

/// \brief Returns the error for a request that exceeds a limit and has not been run.
RequestFailure limitFailure(int status, const std::string &code, const std::string &message, std::chrono::microseconds retryAfter);

} // namespace Verbena::Router
