#include "requestfacts.h"

#include <algorithm>

namespace Verbena::Relay {

using Decisions::RequestKind;

void RequestFacts::setDeadline()
{
    deadline = arrival + route->timeout;
    if (query.deadline.has_value()) {
        deadline = std::min(deadline, *query.deadline);
    }
}

std::chrono::microseconds RequestFacts::remainingTime(Core::TimePoint now) const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(deadline - now);
}

std::string_view RequestFacts::body() const
{
    return sharedBody == nullptr ? std::string_view() : std::string_view(*sharedBody);
}

std::string RequestFacts::organisationName() const
{
    return organisation != nullptr ? organisation->name : "";
}

const Decisions::PromptOutline *RequestFacts::prompt() const
{
    return query.prompt.has_value() ? &*query.prompt : nullptr;
}

std::uint32_t RequestFacts::priority() const
{
    const bool hasOwnPriority = organisation != nullptr && organisation->priority.has_value();
    return std::min(Decisions::leastUrgentPriority, hasOwnPriority ? *organisation->priority : route->priority);
}

bool RequestFacts::isResumption() const
{
    return route->kind == RequestKind::Streaming && route->isResumable && !query.lastEventId.empty();
}

Decisions::StreamKey RequestFacts::streamKey() const
{
    return {organisationName(), query.lastEventId.empty() ? query.attemptId : query.resumedAttemptId};
}

Decisions::FleetQuery RequestFacts::fleetQuery() const
{
    Decisions::FleetQuery result;
    result.service = service;
    result.route = route->name;
    result.prompt = prompt();
    result.dedicatedTo = organisation != nullptr && organisation->isDedicated ? organisation->name : "";
    result.latencyTarget = route->latencyTarget;
    result.pauseTarget = route->pauseTarget;
    return result;
}

} // namespace Verbena::Relay
