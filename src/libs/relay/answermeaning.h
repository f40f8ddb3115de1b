#pragma once

#include "relayprotocol.h"

#include <string_view>

namespace Verbena::Relay {

/// \brief Classifies an answer by what its head proves about the request that is waiting for it.
enum class AnswerMeaning {
    OfThisRequest, ///< The request's own answer, successful or not.
    NotRun, ///< The request was refused and has not run.
    OfAnotherRequest, ///< An answer that carries the id of another request.
    Unproven, ///< A success without a receipt, or a claim that the request has not run without proof; not from a backend server.
    NotResumed, ///< An answer that cannot continue a stream that the caller has begun to read.
};

/// \brief Returns whether \a status is a success (2xx).
bool isSuccess(int status);

/// \brief Classifies an answer with \a status and \a marks for the request \a attemptId; \a isBegun: the caller already has a part of an answer.
AnswerMeaning classifyAnswer(int status, const AnswerMarks &marks, const std::string &attemptId, bool isBegun);

/// \brief Returns why an answer with \a meaning cannot be used, for logs.
std::string_view reasonText(AnswerMeaning meaning);

} // namespace Verbena::Relay
