#include "error.h"

namespace Verbena::Core {

std::string_view errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::PermissionDenied:
        return "permission_denied";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::ResourceExhausted:
        return "resource_exhausted";
    case ErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Unknown:
        return "unknown";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

std::string Error::toString() const
{
    std::string line = step;
    if (!peer.empty()) {
        line += " [" + peer + "]";
    }
    line += ": ";
    line += message;
    line += " (";
    line += errorCodeName(code);
    line += ")";
    return line;
}

} // namespace Verbena::Core
