#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief What may be repeated of a request.
enum class RequestKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Streaming, ///< Answered by a series of events; runs at most once unless its route lets streams be resumed.
};

/// \brief A service and the part of a route's requests that it gets.
struct ServiceShare
{
    std::string service;
    double weight = 1.0;
};

/// \brief Which requests go to which services, and what they may take.
struct RelayRoute
{
    std::string name;
    std::string host; ///< Without a port, in lower case.
    std::string prefix; ///< Of the path; begins and ends with a slash.
    RequestKind kind = RequestKind::NonIdempotent;
    std::chrono::milliseconds timeout{0}; ///< Longest time that a caller is kept without a final answer.
    std::chrono::milliseconds latencyTarget{0}; ///< Until the answer, or the first event of a stream.
    std::uint32_t attempts = 1; ///< Backend servers that may run one request.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    bool isPublic = false; ///< Needs no key.
    bool isResumable = false; ///< A stream may go on at another backend server.
    std::vector<ServiceShare> services;

    /// \brief Whether a request of this route may run a second time.
    bool isRepeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && isResumable);
    }
};

/// \brief A service as far as requests to it depend on it.
struct RelayService
{
    std::string name;
    std::uint32_t engineSlots = 0; ///< Requests that one engine runs at once; 0 for a plain service.
    std::string cacheStore; ///< Address of the store of kept KV cache; empty if the service is none.
    std::string failureDomain; ///< Of the store.
    std::uint64_t cacheTokens = 0; ///< That an engine or the store can keep.
};

/// \brief How much an organisation may use, over all routers together.
struct UsageCap
{
    double perSecond = 0; ///< In requests, or in tokens of prompts and answers.
    double burst = 0; ///< On top, after a time of less use.
    bool isInTokens = false;
    double plainCost = 1; ///< Of a request that does not say its tokens.

    bool operator==(const UsageCap &) const = default;
};

/// \brief An organisation with the keys of its callers.
struct RelayOrganisation
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Goes before the priority of the route.
    bool isDedicated = false; ///< Shares no KV cache with other organisations.
    std::optional<UsageCap> usageCap = std::nullopt;
};

/// \brief What callers may send and how long they may take.
struct RelayLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/// \brief Everything that an operator declares, as one whole.
struct RelayConfiguration
{
    std::uint64_t version = 0; ///< Only ever goes up.
    std::vector<RelayRoute> routes;
    std::vector<RelayService> services;
    std::vector<RelayOrganisation> organisations;
    RelayLimits limits;
};

} // namespace Verbena::Decisions
