#pragma once

#include "backendserver.h"
#include "prefixchain.h"

#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief What a request needs of a backend server.
struct RouteQuery
{
    ModelVersion version; ///< For a completion.
    std::string service; ///< For a call of a plain service; then version is empty.
    std::vector<PrefixKey> keys; ///< Shallow to deep.
    PrefixKey root{};
    std::string homeDomain; ///< Failure domain in which the homes of the prompt are; empty if they may be anywhere.
    std::uint32_t keptPieces = 0; ///< Leading pieces that the store of kept KV cache can hand out.
    std::uint32_t mark = 0; ///< Agents whose overload level is at or below it refuse the request.
    std::vector<BackendServerId> excluded; ///< Tried before, or refused.
};

} // namespace Verbena::Decisions
