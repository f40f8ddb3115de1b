#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Verbena::Decisions {

/// \brief Weights of the score of a candidate, which is a weighted sum of microseconds.
struct RoutingWeights
{
    double timeToFirstToken = 1.0; ///< Weight of the sum of wait, prefill and import.
    double recomputation = 0.0; ///< Additional weight of prefill.

    /// \brief Returns weights for deployments that mainly optimise the tail of the time to first token.
    static RoutingWeights forTailLatency();

    /// \brief Returns weights for deployments that mainly minimise recomputed tokens.
    static RoutingWeights forRecomputation();
};

/// \brief Options of a RouteChooser.
struct RoutingOptions
{
    RoutingWeights weights;
    std::uint64_t seed = 0; ///< Seed for random samples and for breaking ties; differs between routers.
    bool isProbing = true; ///< Whether candidates are probed before the final choice.
    bool isPlacedByWholePrompt = false; ///< Whether the home is that of the whole prompt, regardless of the demand for its prefixes.
    std::size_t maximumHomes = 8; ///< Maximum number of homes of a hot prefix.
    std::size_t prefixTableSize = 16384; ///< Number of prefix keys in the table.
    std::chrono::microseconds hintLifetime = std::chrono::seconds(3); ///< Time for which a load report is used.
    std::chrono::microseconds holderLifetime = std::chrono::seconds(10); ///< Time for which a backend server is assumed to cache a prefix that it received.
    std::chrono::microseconds refusalPause = std::chrono::milliseconds(500); ///< Time without new work after a refusal that does not name one.
    std::chrono::microseconds prefillPerPiece = std::chrono::milliseconds(100); ///< Cost of a piece until the backend server reports its own.
    std::chrono::microseconds importPerPiece{0}; ///< Cost of importing a piece; zero if there is no KV store.
};

} // namespace Verbena::Decisions
