#pragma once

#include "promptcaches.h"
#include "promptoutline.h"

#include <core/time.h>
#include <decisions/routing/backendserver.h>
#include <decisions/routing/routequery.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief What a request needs of a backend server.
struct FleetQuery
{
    std::string service;
    std::string route; ///< Whose requests are alike, for estimates.
    const PromptOutline *prompt = nullptr; ///< Of a completion; nothing for a plain call.
    std::string dedicatedTo; ///< The organisation that shares no KV cache with others, if the request is of such a one.
    std::vector<std::string> excluded; ///< Ids of backend servers that were tried before.
    std::uint64_t draw = 0; ///< Evenly spread over all numbers.
    std::chrono::microseconds latencyTarget{0}; ///< That its route wants; zero for none.
};

/// \brief The backend server that a request goes to, with what was known when it was chosen.
struct FleetChoice
{
    std::string serverId;
    std::string address;
    std::optional<std::uint64_t> weightsVersion; ///< That the request is meant for.
    std::optional<std::chrono::milliseconds> outdatedFor; ///< Since newer weights were named, as far as is known; nothing if none were.
    std::string cacheScope; ///< Prompts of other scopes share no cached part with this one.
    std::vector<SharedPart> parts; ///< Of the prompt, in order; without the last one, which is the request's own.
    std::uint32_t warmParts = 0; ///< Leading ones believed to be in its cache.
    std::uint32_t storedParts = 0; ///< Leading ones that the prompt's store of kept KV cache holds.
    std::string cacheSource; ///< Address of an engine or a store, to fetch missing parts from; empty for none.
    std::string cacheStore; ///< Address of the store that should get what it lacks; empty for none.
    BackendServerId id{};
    std::uint64_t incarnation = 0; ///< Of the backend server when it was chosen.
    RouteQuery route;
    std::chrono::microseconds work{0};
    std::string routeName;
    std::uint32_t waiting = 0; ///< Requests that wait there, by the agent's last news and what was sent since.
    std::optional<std::chrono::microseconds> expectedWait; ///< Before it is begun; nothing if there are no news.
    std::chrono::microseconds bearableWait{std::chrono::microseconds::max()}; ///< With which it would still be answered in time.
    std::optional<std::chrono::milliseconds> newsAge; ///< Of the agent's news by which the wait is expected.
    bool isBusyWithWeights = false; ///< It loads new weights or is about to; all others do too.
    Core::TimePoint sentAt;
};

} // namespace Verbena::Decisions
