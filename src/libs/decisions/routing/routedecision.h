#pragma once

#include "backendserver.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Verbena::Decisions {

/// \brief Reason for which a backend server became a candidate.
enum class CandidateOrigin {
    Home, ///< A home of the shortest shared prefix that one backend server can serve.
    Spare, ///< The next nearest backend server after the homes.
    DeepHome, ///< Home of the next longer shared prefix.
    Holder, ///< A recent receiver of one of the prefixes.
    Load, ///< The least loaded of a few random backend servers.
};

/// \brief A candidate backend server with the components of its score.
struct RouteCandidate
{
    BackendServerId id{};
    CandidateOrigin origin = CandidateOrigin::Home;
    std::uint32_t warmPieces = 0; ///< Number of leading pieces that are assumed to be in its cache.
    std::uint32_t importedPieces = 0; ///< Number of pieces that are cheaper to import from the KV store than to compute.
    std::chrono::microseconds wait{0}; ///< Expected time until prefill begins.
    std::chrono::microseconds prefill{0}; ///< Expected time to compute the missing pieces.
    std::chrono::microseconds import{0}; ///< Expected time to import importedPieces.
    double slowness = 1; ///< Time that work takes there relative to the service's average.
    double lastingSlowness = 1; ///< Slowness without short slowdowns and recoveries.
    double lateFraction = 0; ///< Estimated fraction of streams that would have a pause above the target of their route.
    double score = 0; ///< Weighted sum of the times above in microseconds; lower is better.
};

/// \brief Candidates for a request with the reasons for their order.
struct RouteDecision
{
    std::vector<RouteCandidate> candidates; ///< Candidates, best first; empty if no backend server may serve the request.
    bool isOverloaded = false; ///< Whether the best candidate refuses the request's mark, so that the router should refuse the request itself.

    /// \brief Returns the best candidate, or nothing if there is none or the request should be refused.
    std::optional<BackendServerId> best() const;
};

} // namespace Verbena::Decisions
