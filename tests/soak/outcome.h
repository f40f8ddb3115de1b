#pragma once

#include <core/time.h>

#include <cstddef>
#include <string>

namespace Verbena::Soak {

/// \brief How one request of a caller ended.
struct Outcome
{
    std::size_t router = 0;
    std::string path;
    int status = 0; ///< 0 if the connection ended first.
    std::string id;
    Core::TimePoint sentAt;
    Core::TimePoint endedAt;
    bool isUnanswered = false; ///< Whether the request was sent and not a byte of an answer came.
    bool isCut = false; ///< Whether some of an answer came, and not all of it.
};

} // namespace Verbena::Soak
