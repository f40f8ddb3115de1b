#pragma once

#include <cstdint>
#include <optional>

namespace Verbena::Decisions {

/// \brief Load of a backend server as it reports it with an answer.
struct ServerLoad
{
    std::uint32_t running = 0; ///< Number of running requests.
    std::uint32_t waiting = 0; ///< Number of queued requests.
    std::uint32_t slots = 1; ///< Number of requests that it runs at once; at least 1.
    std::optional<double> pace; ///< Time that work takes there now, relative to the usual: 1 is usual, 2 twice as long; nothing if it names none.

    bool operator==(const ServerLoad &) const = default;
};

} // namespace Verbena::Decisions
