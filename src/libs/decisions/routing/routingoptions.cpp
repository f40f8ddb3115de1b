#include "routingoptions.h"

namespace Verbena::Decisions {

RoutingWeights RoutingWeights::forTailTime()
{
    return {1.0, 0.3};
}

RoutingWeights RoutingWeights::forRecomputation()
{
    return {1.0, 4.0};
}

} // namespace Verbena::Decisions
