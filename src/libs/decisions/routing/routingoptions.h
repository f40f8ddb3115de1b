#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Verbena::Decisions {

/// \brief What a deployment cares for: the score is a weighted sum of microseconds.
struct RoutingWeights
{
    double timeToFirstToken = 1.0; ///< Of wait, prefill and import.
    double recomputation = 0.0; ///< Of prefill alone, on top.

    /// \brief For those who weigh the tail of the time to first token most.
    static RoutingWeights forTailTime();

    /// \brief For those who weigh recomputed tokens most.
    static RoutingWeights forRecomputation();
};

/// \brief Settings of a RouteChooser.
struct RoutingOptions
{
    RoutingWeights weights;
    std::uint64_t seed = 0; ///< For draws and ties; differs between routers.
    bool isProbing = true; ///< Whether candidates are asked before the last choice.
    bool isPlacedByWholePrompt = false; ///< Whether the home is that of all shared pieces, whatever each is asked for.
    std::size_t maximumHomes = 8; ///< Widest home set of a hot prefix.
    std::size_t keyTableSize = 16384; ///< Prefix keys remembered.
    std::chrono::microseconds hintLifetime = std::chrono::seconds(3);
    std::chrono::microseconds holderLifetime = std::chrono::seconds(10); ///< How long a backend server is believed to keep what it was sent.
    std::chrono::microseconds refusalPause = std::chrono::milliseconds(500); ///< Without new work after a refusal that names no time.
    std::chrono::microseconds prefillPerPiece = std::chrono::milliseconds(100); ///< Until a backend server has said its own.
    std::chrono::microseconds importPerPiece{0}; ///< Zero if there is no store of kept KV cache.
};

} // namespace Verbena::Decisions
