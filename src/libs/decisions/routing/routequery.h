#pragma once

#include "backendserver.h"
#include "prefixchain.h"

#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief Requirements of a request on the backend server that serves it.
struct RouteQuery
{
    ModelVersion version; ///< Model version for a completion; empty for a service call.
    std::string service; ///< Name of the service for a service call; empty for a completion.
    std::vector<PrefixKey> keys; ///< Keys of the prefixes of the prompt, shortest first.
    PrefixKey root{}; ///< Key of the scope, for prompts without a whole piece.
    std::string homeDomain; ///< Failure domain that contains the homes of the prompt; empty if they may be in any.
    std::uint32_t storedPieces = 0; ///< Number of leading pieces that can be imported from the KV store.
    std::uint32_t extraRandomServers = 0; ///< Number of random backend servers that become candidates besides the others.
    std::uint32_t mark = 0; ///< Mark of the request; agents whose overload level is at or below it refuse the request.
    std::optional<std::string> softwareVersion; ///< Software version that the backend server must have; nothing if any will do.
    std::optional<BackendServerId> only; ///< The only backend server that may be chosen; nothing if any may.
    std::vector<BackendServerId> excluded; ///< Backend servers that must not be chosen, as they were tried before or refused the request.
};

} // namespace Verbena::Decisions
