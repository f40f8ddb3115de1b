#pragma once

#include "backendserver.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Verbena::Decisions {

/// \brief Why a backend server was weighed.
enum class CandidateOrigin {
    Home, ///< Home of the shallowest shared prefix that one backend server can serve.
    Spare, ///< Ranks next to the homes.
    DeepHome, ///< Home of the next deeper shared prefix.
    Holder, ///< Was sent one of the prefixes lately.
    Load, ///< The least loaded of a few drawn at random.
};

/// \brief One weighed backend server with the parts of its score.
struct RouteCandidate
{
    BackendServerId id{};
    CandidateOrigin origin = CandidateOrigin::Home;
    std::uint32_t warmPieces = 0; ///< Believed to be in its cache.
    std::uint32_t importedPieces = 0; ///< Cheaper to import from the kept KV cache than to compute.
    std::chrono::microseconds wait{0}; ///< Expected until prefill begins.
    std::chrono::microseconds prefill{0}; ///< Of the pieces that are missing.
    std::chrono::microseconds import{0}; ///< Of the imported pieces.
    double score = 0; ///< Microseconds, weighted; lower is better.
};

/// \brief Where a request should go, with the reasons.
struct RouteDecision
{
    std::vector<RouteCandidate> candidates; ///< Best first; empty if no backend server may serve the request.
    bool isOverloaded = false; ///< The best candidate refuses the request's mark: it should be refused before it costs anything.

    /// \brief The best candidate, or nothing if there is none or the request should be refused.
    std::optional<BackendServerId> best() const;
};

} // namespace Verbena::Decisions
