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

/// \brief Requirements of a request for the choice of a backend server.
struct FleetQuery
{
    std::string service;
    std::string route; ///< Name of the route; requests of one route share an estimate of waiting times.
    const PromptOutline *prompt = nullptr; ///< Prompt of a completion; null for a plain call.
    std::string dedicatedTo; ///< Organisation that shares no KV cache with others, if the request belongs to one; else empty.
    std::optional<std::string> softwareVersion; ///< Software version that the backend server must have; nothing if any will do.
    bool needsTimelyReport = false; ///< Whether engines are left out whose report is late.
    std::optional<std::string> onlyServer; ///< Id of the only backend server that may be chosen; nothing if any may.
    std::vector<std::string> excluded; ///< Ids of backend servers that were tried before.
    std::uint64_t randomValue = 0; ///< Random value, uniformly distributed over all numbers.
    std::chrono::microseconds latencyTarget{0}; ///< Latency target of the route; zero for none.
    std::chrono::microseconds pauseTarget{0}; ///< Target of the route for the longest pause in a stream; zero for none.
};

/// \brief The backend server chosen for a request, with the state on which the choice was based.
struct FleetChoice
{
    std::string serverId;
    std::string address;
    std::optional<std::uint64_t> weightsVersion; ///< Version of the weights for which the request is meant.
    std::optional<std::chrono::milliseconds> outdatedFor; ///< Time since newer weights were announced, if it is known; nothing if none were.
    std::string softwareVersion; ///< Version of the backend server's software; empty if it names none.
    std::string cacheScope; ///< Scope of the cached parts; prompts of different scopes share none.
    std::vector<SharedPart> parts; ///< Shared parts of the prompt in order, without the last one, which belongs to this request alone.
    std::uint32_t ownTokens = 0; ///< Tokens of the part that belongs to this request alone.
    std::uint32_t warmParts = 0; ///< Number of leading parts assumed to be in the cache of the engine.
    std::uint32_t storedParts = 0; ///< Number of leading parts that the prompt's store of saved KV cache holds.
    std::string cacheSource; ///< Address of an engine or a store to fetch missing parts from; empty for none.
    std::string cacheStore; ///< Address of the store to which the parts that it lacks are saved; empty for none.
    BackendServerId id{};
    std::uint64_t incarnation = 0; ///< Incarnation of the backend server when it was chosen.
    RouteQuery route;
    std::chrono::microseconds work{0};
    std::string routeName;
    std::uint32_t waiting = 0; ///< Number of requests that wait there: those in the last status report and those estimated to have been sent since.
    std::optional<std::chrono::microseconds> expectedWait; ///< Expected wait until the request starts; nothing without a status report.
    std::chrono::microseconds acceptableWait{std::chrono::microseconds::max()}; ///< Maximum wait with which the answer still meets the latency target.
    std::optional<std::chrono::milliseconds> reportAge; ///< Age of the status report on which the expected wait is based.
    std::optional<double> limit; ///< Requests per second that the backend server takes from all routers together, if it named a limit.
    double expectedDelay = 0; ///< Expected delay of a plain call by requests before it, in multiples of its work.
    std::chrono::microseconds latencyTarget{0}; ///< Latency target of the route, which a late pause costs; zero for none.
    double lastingSlowness = 1; ///< Slowness without short slowdowns and recoveries.
    double lateFraction = 0; ///< Estimated fraction of streams of the route whose longest pause exceeds its target there.
    std::optional<double> slowness; ///< Time that work takes there relative to the service's average; nothing if no server of the service names its pace.
    std::uint32_t limitedServers = 0; ///< Number of backend servers, of any service, that were left out because of their limits or because they rest.
    bool isBusyWithWeights = false; ///< Whether the engine loads new weights or is about to, as do all others.
    Core::TimePoint sentAt;
    std::uint64_t weightsNews = 0; ///< Number of the last news of weights when the request was sent.
};

} // namespace Verbena::Decisions
