#pragma once

#include "partindex.h"
#include "serverregister.h"

#include <core/time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Verbena::Decisions {

/// \brief Status of an engine, as reported by the agent beside it.
struct EngineStatus
{
    std::uint64_t incarnation = 0; ///< Identifies one start of the engine; 0 if it does not report one.
    ServedModels weights;
    bool isSilent = false; ///< Whether the engine does not answer its agent.
    bool isLoading = false; ///< Whether the engine accepts no new requests for now.
    std::optional<Core::TimePoint> loadTime; ///< Time at which the engine will start to load new weights.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t usedTokens = 0; ///< Number of tokens in its KV cache memory that cannot be evicted.
    std::uint64_t totalTokens = 0;
    std::optional<double> pace = std::nullopt; ///< Time that work takes now, relative to the usual; nothing if the engine names none.
    std::optional<std::vector<PartKey>> parts; ///< Cached prompt parts; nothing if they have not changed.
};

} // namespace Verbena::Decisions
