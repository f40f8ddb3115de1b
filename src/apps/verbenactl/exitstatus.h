#pragma once

#include <core/error.h>

namespace Verbena::Tool {

/// \brief How verbenactl ends.
enum class ExitStatus {
    Success = 0,
    Failure = 1, ///< Something could not be reached or read; nothing was changed.
    Invalid = 2, ///< The command or the settings are wrong; nothing was changed.
    Unknown = 3, ///< It is not known whether the change was accepted.
    Conflict = 4, ///< Somebody else was first; nothing was changed.
    Denied = 5, ///< The operator may not do this; nothing was changed.
};

/// \brief The status for a failure before anything was changed.
inline ExitStatus exitStatusOf(const Core::Error &error)
{
    switch (error.code) {
    case Core::ErrorCode::InvalidArgument:
    case Core::ErrorCode::NotFound:
        return ExitStatus::Invalid;
    case Core::ErrorCode::PermissionDenied:
        return ExitStatus::Denied;
    default:
        return ExitStatus::Failure;
    }
}

} // namespace Verbena::Tool
