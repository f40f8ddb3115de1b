#pragma once

#include "relayprotocol.h"

#include <string_view>

namespace Verbena::Relay {

/// \brief What the head of an answer proves of the request that waits for it.
enum class AnswerMeaning {
    OfThisRequest, ///< Its answer, good or bad.
    NotRun, ///< It was refused and has not run.
    OfAnotherRequest,
    Unproven, ///< A success without a receipt, or a promise without proof: not that of a backend server.
    NotResumed, ///< A stream that the caller has begun to read cannot go on by it.
};

/// \brief Whether \a status is one of success.
bool isSuccess(int status);

/// \brief What an answer with \a status and \a marks means to the request \a attemptId; \a isBegun if its caller has a part of an answer already.
AnswerMeaning classifyAnswer(int status, const AnswerMarks &marks, const std::string &attemptId, bool isBegun);

/// \brief Why an answer with \a meaning cannot be used, for logs.
std::string_view reasonText(AnswerMeaning meaning);

} // namespace Verbena::Relay
