#pragma once

#include <decisions/routing/backendserver.h>

#include <boost/container/static_vector.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace Verbena::Decisions {

/// \brief What is known of whether a request has been run.
enum class RunState {
    NotRun, ///< Proved: nothing was sent, or every agent it was sent to refused it.
    Run, ///< A backend server has answered at least a part.
    Unknown, ///< It was sent and nobody said what became of it.
};

/// \brief Why an agent refused an attempt.
enum class AttemptRefusal {
    None,
    QueueFull,
    DeadlineTooNear,
    Overload,
    Leaving,
    NotServed,
    Incarnation, ///< Meant for an earlier incarnation of the agent.
    Duplicate, ///< Received before: this says nothing about whether the first copy runs.
    EngineDown,
    Redirect,
};

/// \brief How an agent says that an attempt ended.
enum class AttemptEnd {
    Complete,
    EngineLost,
    Cancelled,
    DeadlinePassed,
    Rejected, ///< The backend server answered with an error of its own.
};

/// \brief Why a request was given up.
enum class FailureReason {
    NoBackendServer, ///< None that may serve it is left.
    Unreachable, ///< No agent could be reached.
    Refused, ///< Agents refused it.
    Lost, ///< The agent or the engine was lost on the way.
    RetriesUsedUp, ///< The retry budget is empty.
    DeadlineExceeded,
    BackendError, ///< A resumed attempt was answered with an error.
};

/// \brief Hand \a text to the caller. The view ends with the event that it came with.
struct DeliverText
{
    std::string_view text;
    std::uint32_t tokens = 0;
};

/// \brief Choose a backend server and send this attempt to it.
struct DispatchAttempt
{
    std::uint32_t attempt = 0;
    std::uint32_t resumeTokens = 0; ///< Tokens that the caller has already.
};

/// \brief Tell the agent of an attempt that nobody waits for it any more.
struct CancelAttempt
{
    std::uint32_t attempt = 0;
    BackendServerId server{};
};

/// \brief The caller has the whole answer.
struct FinishRequest
{
    AttemptEnd kind = AttemptEnd::Complete; ///< Complete or Rejected.
};

/// \brief Tell the caller that there will be no whole answer.
struct FailRequest
{
    FailureReason reason = FailureReason::Lost;
    RunState run = RunState::Unknown;
    AttemptRefusal refusal = AttemptRefusal::None; ///< The last one, if there was any.
    std::optional<std::chrono::microseconds> retryAfter; ///< Nothing where coming back makes no sense.
};

using AttemptAction = std::variant<DeliverText, DispatchAttempt, CancelAttempt, FinishRequest, FailRequest>;

/// \brief What to do after an event, in this order: at most the cancelling of an attempt and one thing more.
using AttemptActions = boost::container::static_vector<AttemptAction, 2>;

} // namespace Verbena::Decisions
