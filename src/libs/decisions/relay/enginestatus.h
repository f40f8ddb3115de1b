#pragma once

#include "partindex.h"
#include "serverregister.h"

#include <core/time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Verbena::Decisions {

/// \brief How an engine is, as the agent beside it says.
struct EngineStatus
{
    std::uint64_t incarnation = 0; ///< Tells one start of it from another; 0 if it does not say.
    std::vector<ServedWeights> weights;
    bool isSilent = false; ///< It does not answer its agent.
    bool isLoading = false; ///< Takes no new requests for now.
    std::optional<Core::TimePoint> loadTime; ///< When it will begin to load new weights.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t usedTokens = 0; ///< Of its memory, those that cannot make room.
    std::uint64_t totalTokens = 0;
    std::optional<std::vector<PartKey>> parts; ///< In its cache; nothing if they are as they were.
};

} // namespace Verbena::Decisions
