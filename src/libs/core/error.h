#pragma once

#include <string>
#include <string_view>

namespace Verbena::Core {

/// \brief The kinds of failure that callers of this code tell apart.
enum class ErrorCode {
    InvalidArgument, ///< The input cannot be accepted as it is; repeating it does not help.
    NotFound, ///< What was named does not exist.
    PermissionDenied, ///< The peer or its key may not do this.
    Conflict, ///< Somebody else changed the same thing first.
    ResourceExhausted, ///< A limit or a budget is used up; try again later.
    DeadlineExceeded, ///< The deadline passed before an outcome was known.
    Unavailable, ///< The peer cannot be reached, or refused before doing anything.
    Unknown, ///< The action was sent and its outcome cannot be known.
    Internal, ///< A library call failed in a way that no input explains.
};

/// \brief The stable lower-case name of \a code, as logs and answers show it.
std::string_view errorCodeName(ErrorCode code);

/// \brief A failure with the step and the peer at which it arose.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string step; ///< What was being done, for instance "settings.read".
    std::string peer; ///< Address, file or process it was done with; empty if there is none.
    std::string message; ///< A full sentence for people.

    /// \brief One line for people: step, peer, code and message.
    std::string toString() const;
};

} // namespace Verbena::Core
