#include "routedecision.h"

namespace Verbena::Decisions {

std::optional<BackendServerId> RouteDecision::best() const
{
    return candidates.empty() || isOverloaded ? std::nullopt : std::optional(candidates.front().id);
}

} // namespace Verbena::Decisions
