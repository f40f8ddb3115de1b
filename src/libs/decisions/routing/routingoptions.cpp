#include "routingoptions.h"

namespace Verbena::Decisions {

// Even where only the tail time counts, a piece computed twice makes those behind it wait and drives another out of the cache.
RoutingWeights RoutingWeights::forTailTime()
{
    return {1.0, 5.0};
}

RoutingWeights RoutingWeights::forRecomputation()
{
    return {1.0, 8.0};
}

} // namespace Verbena::Decisions
