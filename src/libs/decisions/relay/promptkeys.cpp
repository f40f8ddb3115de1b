#include "promptkeys.h"

#include <xxhash.h>

namespace Verbena::Decisions {

namespace {

// The scope contains the version of the weights, so that no part computed with other weights can match, and the organisation if it shares no cache.
std::string cacheScope(const FleetQuery &query, std::uint64_t version)
{
    return query.prompt->model + '@' + std::to_string(version) + (query.dedicatedTo.empty() ? "" : '/' + query.dedicatedTo);
}

// Demand for a prompt does not depend on the weights. If it were counted anew for each version, the prefixes in highest demand would have a single home just
// when every engine is cold.
std::string demandScope(const FleetQuery &query)
{
    return query.prompt->model + (query.dedicatedTo.empty() ? "" : '/' + query.dedicatedTo);
}

PrefixKey chain(PrefixKey before, const std::string &id)
{
    return PrefixKey(XXH3_64bits_withSeed(id.data(), id.size(), static_cast<std::uint64_t>(before)));
}

} // namespace

std::string poolName(const std::string &service, const std::string &model)
{
    return service + '/' + model;
}

void describePrompt(FleetChoice &choice, const FleetQuery &query)
{
    choice.cacheScope = cacheScope(query, *choice.weightsVersion);
    choice.ownTokens = query.prompt->parts.empty() ? query.prompt->promptTokens : query.prompt->parts.back().tokens;
    RouteQuery &route = choice.route;
    route.version = {poolName(query.service, query.prompt->model), "", std::to_string(*choice.weightsVersion)};
    route.root = chain(PrefixKey(0), demandScope(query));
    PrefixKey key = route.root;
    for (std::size_t part = 0; part + 1 < query.prompt->parts.size(); ++part) {
        const PromptPart &shared = query.prompt->parts[part];
        key = chain(key, shared.id);
        route.keys.push_back(key);
        choice.parts.push_back({partKey(choice.cacheScope, shared.id), shared.tokens});
    }
}

} // namespace Verbena::Decisions
