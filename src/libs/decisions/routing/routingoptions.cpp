#include "routingoptions.h"

namespace Verbena::Decisions {

// Recomputation counts even where only the tail latency matters: computing a piece again delays the requests behind it and evicts another
// piece from the cache.
RoutingWeights RoutingWeights::forTailLatency()
{
    return {1.0, 5.0};
}

RoutingWeights RoutingWeights::forRecomputation()
{
    return {1.0, 8.0};
}

} // namespace Verbena::Decisions
