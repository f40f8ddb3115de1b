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

/// \brief Identifies one attempt at one request; the request id is the same for all its attempts.
struct RequestRef
{
    std::string request;
    std::uint32_t attempt = 1; ///< Attempt number, counted from 1.

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

/// \brief The flow whose share a request uses: organisation, then team, then class.
struct FlowPath
{
    std::string organisation;
    std::string team;
    std::string requestClass;

    bool operator==(const FlowPath &) const = default;
};

/// \brief A request as a router submits it to the gate.
struct GateRequest
{
    RequestRef ref;
    FlowPath flow;
    std::uint32_t mark = 0; ///< Overload mark, set once at the entry; a request with a higher mark is refused earlier.
    ModelVersion version;
    bool isServiceCall = false; ///< Whether this is a call of a plain service, which has no version, keys or tokens.
    std::vector<PrefixKey> keys; ///< Prefix keys from the shortest prefix to the longest, one for each whole piece of the prompt.
    std::uint32_t promptTokens = 0; ///< Estimated number of prompt tokens.
    std::uint32_t maximumTokens = 0; ///< Maximum number of tokens in the answer.
    std::uint32_t resumeTokens = 0; ///< Number of answer tokens already delivered to the caller.
    Core::TimePoint deadline; ///< Time after which the answer is useless to the caller.
    bool isIdempotent = true;
};

/// \brief Why a request was refused. A refused attempt has not run and will not run.
enum class GateRefusal {
    QueueFull, ///< The queue is full and the flow holds more than its share of it, or the duplicate filter is full.
    Deadline, ///< The answer is not expected to be complete before the deadline.
    Overload, ///< The mark is at or above the overload level.
    Leaving, ///< The backend server finishes its runs and accepts no new requests.
    NotServed, ///< The engine does not hold the model, adapter or version.
    EngineDown, ///< The engine cannot be reached.
    Superseded, ///< A later attempt has been received, or this attempt was refused before.
};

/// \brief Action: run the request at the engine now.
struct StartRun
{
    RequestRef ref;
    std::uint32_t warmPieces = 0; ///< Number of prompt pieces that are expected to be in the engine's cache.
    std::chrono::microseconds queueWait{0};
};

/// \brief Action: tell the router that the request has not run and will not run.
struct Refuse
{
    RequestRef ref;
    GateRefusal reason{};
    std::chrono::microseconds retryAfter{0}; ///< Time after which a retry here may succeed; zero means to try another backend server at once.
};

/// \brief State of an attempt that has been received more than once.
enum class DuplicateState {
    Queued, ///< The attempt is queued and will get its own reply.
    MayHaveRun, ///< The attempt was started, or another attempt of a non-idempotent request was.
};

/// \brief Action: report that the attempt has been received before. This is not a refusal: it never means "not run".
struct ReportDuplicate
{
    RequestRef ref;
    DuplicateState state{};
};

/// \brief Action: report that the request was cancelled while it was queued.
struct DropQueued
{
    RequestRef ref;
};

/// \brief Action: cancel the run at the engine. Its end must still be passed to AdmissionGate::handleRunEnded().
struct CancelRun
{
    RequestRef ref;
};

/// \brief An action that the gate asks its owner to perform.
using GateAction = std::variant<StartRun, Refuse, ReportDuplicate, DropQueued, CancelRun>;

/// \brief How a run at the engine ended.
enum class RunEnd {
    Complete,
    Cancelled,
    Failed, ///< The engine answered with an error.
    EngineLost, ///< The engine died or cut the stream.
};

/// \brief The result of a run, as far as the engine reported it.
struct RunOutcome
{
    RunEnd end = RunEnd::Complete;
    std::optional<std::uint32_t> promptTokens;
    std::optional<std::uint32_t> cachedTokens; ///< Number of prompt tokens that the engine reports to have found in its cache.
    std::uint32_t completionTokens = 0;
};

/// \brief An engine's own report of its load, which arrives with a delay.
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

} // namespace Verbena::Decisions
