#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief The priority of the requests that give way to all others; 0 is the most urgent, so there are ten priorities.
inline constexpr std::uint32_t leastUrgentPriority = 9;

/// \brief How often a request may run.
enum class RequestKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Streaming, ///< Answered by a series of events; runs at most once unless its route lets streams be resumed.
};

/// \brief A service and its share of the requests of a route.
struct ServiceShare
{
    std::string service;
    double weight = 1.0;
};

/// \brief A rule that maps requests to services, with their limits.
struct RelayRoute
{
    std::string name;
    std::string host; ///< Host name without a port, in lower case.
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    RequestKind kind = RequestKind::NonIdempotent;
    std::chrono::milliseconds timeout{0}; ///< Maximum time until a caller gets a final answer.
    std::chrono::milliseconds latencyTarget{0}; ///< Target for the time until the answer, or until the first event of a stream; zero for none.
    std::chrono::milliseconds pauseTarget{0}; ///< Target for the longest pause between two events of a stream; zero for none.
    std::uint32_t attempts = 1; ///< Maximum number of backend servers that may run one request.
    std::uint32_t priority = 0; ///< Priority; 0 is the most urgent.
    bool isPublic = false; ///< Whether callers need no key.
    bool isResumable = false; ///< Whether a stream may be continued at another backend server.
    std::vector<ServiceShare> services;

    /// \brief Returns whether a request of this route may run a second time.
    bool isRepeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && isResumable);
    }
};

/// \brief A service, with the properties that matter for requests to it.
struct RelayService
{
    std::string name;
    std::uint32_t engineSlots = 0; ///< Number of requests that one engine runs at once; 0 for a plain service.
    std::string healthPath; ///< Path of the health check; empty if it has none.
    std::string cacheStore; ///< Address of the store of saved KV cache; empty if the service is none.
    std::string failureDomain; ///< Failure domain of the store.
    std::uint64_t cacheTokens = 0; ///< Number of tokens that an engine or the store can cache.
};

/// \brief Maximum usage of an organisation, over all routers together.
struct UsageCap
{
    double perSecond = 0; ///< Rate in requests, or in tokens of prompts and answers.
    double burst = 0; ///< Additional usage that may be saved up in times of less use.
    bool isInTokens = false;
    double plainCost = 1; ///< Cost in tokens of a request that does not state its number of tokens.

    bool operator==(const UsageCap &) const = default;
};

/// \brief An organisation with the keys of its callers.
struct RelayOrganisation
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Overrides the priority of the route.
    bool isDedicated = false; ///< Whether the organisation shares no KV cache with others.
    std::optional<UsageCap> usageCap = std::nullopt;
};

/// \brief Limits on the size of requests and on how long callers may take to send them.
struct RelayLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/// \brief The complete configuration declared by an operator.
struct RelayConfiguration
{
    std::uint64_t version = 0; ///< Version number, which only increases.
    std::vector<RelayRoute> routes;
    std::vector<RelayService> services;
    std::vector<RelayOrganisation> organisations;
    RelayLimits limits;
};

} // namespace Verbena::Decisions
