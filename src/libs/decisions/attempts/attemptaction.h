#pragma once

#include <decisions/routing/backendserver.h>

#include <boost/container/static_vector.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace Verbena::Decisions {

/// \brief Knowledge of the router about whether a request has been run.
enum class RunState {
    NotRun, ///< Certainly not run: it was not sent, or every agent that received it refused it.
    Run, ///< Run at least in part: a backend server has answered some of it.
    Unknown, ///< Possibly run: it was sent and its outcome is not known.
};

/// \brief Reason for which an agent refused an attempt.
enum class AttemptRefusal {
    None,
    QueueFull,
    DeadlineTooNear,
    Overload,
    Leaving,
    NotServed,
    Incarnation, ///< Addressed to an earlier incarnation of the agent.
    Duplicate, ///< Received before; the first copy may be running.
    EngineDown,
    Redirect,
};

/// \brief Outcome of an attempt as its agent reports it.
enum class AttemptEnd {
    Complete,
    EngineLost,
    Cancelled,
    DeadlinePassed,
    Rejected, ///< Answered by the backend server with an error of its own.
};

/// \brief Reason for which a request failed.
enum class FailureReason {
    NoBackendServer, ///< No backend server is left that may serve the request.
    Unreachable, ///< No agent could be reached.
    Refused, ///< The agents refused the request.
    Lost, ///< The agent or the engine was lost during the attempt.
    RetriesUsedUp, ///< The retry budget is empty.
    DeadlineExceeded,
    BackendError, ///< A resumed attempt was answered with an error.
};

/// \brief Action: delivers \a text to the caller. The view is valid only during the event that returned the action.
struct DeliverText
{
    std::string_view text;
    std::uint32_t tokens = 0;
};

/// \brief Action: chooses a backend server and sends the attempt to it.
struct DispatchAttempt
{
    std::uint32_t attempt = 0;
    std::uint32_t resumeTokens = 0; ///< Number of tokens that the caller already has.
};

/// \brief Action: tells the agent of an attempt that its answer is no longer needed.
struct CancelAttempt
{
    std::uint32_t attempt = 0;
    BackendServerId server{};
};

/// \brief Action: ends a request whose whole answer was delivered.
struct FinishRequest
{
    AttemptEnd kind = AttemptEnd::Complete; ///< Outcome; Complete or Rejected.
};

/// \brief Action: reports to the caller that there will be no whole answer.
struct FailRequest
{
    FailureReason reason = FailureReason::Lost;
    RunState run = RunState::Unknown;
    AttemptRefusal refusal = AttemptRefusal::None; ///< Reason of the last refusal, if there was one.
    std::optional<std::chrono::microseconds> retryAfter; ///< Time after which the caller may retry; nothing if a retry makes no sense.
};

using AttemptAction = std::variant<DeliverText, DispatchAttempt, CancelAttempt, FinishRequest, FailRequest>;

/// \brief Actions after an event, in the order of execution: at most the cancellation of an attempt and one other action.
using AttemptActions = boost::container::static_vector<AttemptAction, 2>;

} // namespace Verbena::Decisions
