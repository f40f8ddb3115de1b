#pragma once

#include "../routing/backendserver.h"
#include "../routing/prefixchain.h"

#include <core/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace Verbena::Decisions {

/// \brief One attempt at one request; the request id is the same for all its attempts.
struct RequestRef
{
    std::string request;
    std::uint32_t attempt = 1; ///< Counts from 1.

    bool operator==(const RequestRef &) const = default;

    bool operator<(const RequestRef &other) const
    {
        return std::tie(request, attempt) < std::tie(other.request, other.attempt);
    }
};

/// \brief Hash of a RequestRef, for unordered containers.
struct RequestRefHash
{
    std::size_t operator()(const RequestRef &ref) const
    {
        return std::hash<std::string>()(ref.request) ^ (ref.attempt * 0x9e3779b97f4a7c15ULL);
    }
};

/// \brief Whose share a request uses: organisation, then team, then class.
struct FlowPath
{
    std::string organisation;
    std::string team;
    std::string requestClass;

    bool operator==(const FlowPath &) const = default;
};

/// \brief A request as a router hands it to the gate.
struct GateRequest
{
    RequestRef ref;
    FlowPath flow;
    std::uint32_t mark = 0; ///< Set once at the entry; a higher mark is refused earlier.
    ModelVersion version;
    bool isServiceCall = false; ///< A call of a plain service: no version, no keys, no tokens.
    std::vector<PrefixKey> keys; ///< Shallow to deep, one for each whole piece of the prompt.
    std::uint32_t promptTokens = 0; ///< An estimate.
    std::uint32_t maximumTokens = 0; ///< Most tokens that the answer may have.
    std::uint32_t resumeTokens = 0; ///< Tokens of the answer that the caller has already.
    Core::TimePoint deadline; ///< When the answer is of no more use.
    bool isIdempotent = true;
};

/// \brief Why a request was refused. A refused request has not run and will not.
enum class GateRefusal {
    QueueFull, ///< The queue is full and the flow holds more than its share of it.
    Deadline, ///< The answer is not expected to be whole before the deadline.
    Overload, ///< The mark is at or above the overload level.
    Leaving, ///< The backend server finishes what it has and takes nothing new.
    NotServed, ///< Model, adapter or version is not held.
    EngineDown, ///< The engine cannot be reached.
    Superseded, ///< A later attempt has been received, or this one was refused before.
};

/// \brief Run the request at the engine now.
struct StartRun
{
    RequestRef ref;
    std::uint32_t warmPieces = 0; ///< Pieces of the prompt that are expected to be in the cache.
    std::chrono::microseconds queueWait{0};
};

/// \brief Tell the router that the request has not run and will not.
struct Refuse
{
    RequestRef ref;
    GateRefusal reason{};
    std::chrono::microseconds retryAfter{0}; ///< When coming back is worth it; zero means elsewhere at once.
};

/// \brief What became of the first receipt of an attempt that has been received again.
enum class DuplicateState {
    Queued, ///< It waits; its own answer will come.
    MayHaveRun, ///< It was started, or another attempt of a request that may run only once was.
};

/// \brief The attempt has been received before. No refusal: it never means "not run".
struct ReportDuplicate
{
    RequestRef ref;
    DuplicateState state{};
};

/// \brief The request waited and was cancelled before it ran.
struct DropQueued
{
    RequestRef ref;
};

/// \brief Cancel the run at the engine; its end is still to be noted.
struct CancelRun
{
    RequestRef ref;
};

/// \brief What the gate asks its owner to do.
using GateAction = std::variant<StartRun, Refuse, ReportDuplicate, DropQueued, CancelRun>;

/// \brief How a run at the engine ended.
enum class RunEnd {
    Complete,
    Cancelled,
    Failed, ///< The engine answered with an error.
    EngineLost, ///< The engine died or cut the stream.
};

/// \brief What is known at the end of a run.
struct RunOutcome
{
    RunEnd end = RunEnd::Complete;
    std::optional<std::uint32_t> promptTokens;
    std::optional<std::uint32_t> cachedTokens; ///< Prompt tokens that the engine says it found in its cache.
    std::uint32_t completionTokens = 0;
};

/// \brief What an engine says of itself, late.
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

} // namespace Verbena::Decisions
