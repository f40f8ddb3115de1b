#pragma once

#include <string>
#include <string_view>

namespace Verbena::Core {

/// \brief The kinds of errors that callers distinguish.
enum class ErrorCode {
    InvalidArgument, ///< The input is not valid; repeating the call does not help.
    NotFound, ///< The requested object does not exist.
    PermissionDenied, ///< The peer or its key is not allowed to do this.
    Conflict, ///< The same object was changed concurrently by another caller.
    ResourceExhausted, ///< A limit or a budget is exhausted; try again later.
    DeadlineExceeded, ///< The deadline passed before the result was known.
    Unavailable, ///< The peer cannot be reached, or refused the request before doing anything.
    Unknown, ///< The request was sent, but its result cannot be known.
    Internal, ///< A library call failed although the input was valid.
};

/// \brief Returns the stable lower-case name of \a code that is used in logs and responses.
std::string_view errorCodeName(ErrorCode code);

/// \brief An error with the step and the peer at which it occurred.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string step; ///< Operation that failed, for instance "settings.read".
    std::string peer; ///< Address, file or process involved; empty if there is none.
    std::string message; ///< Description for users, as a full sentence.

    /// \brief Returns step, peer, message and code as one readable line.
    std::string toString() const;
};

} // namespace Verbena::Core
