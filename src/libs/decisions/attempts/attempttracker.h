#pragma once

#include "attemptaction.h"
#include "retrybudget.h"

#include <vector>

namespace Verbena::Decisions {

/// \brief State of the current attempt of a request.
enum class AttemptState {
    NotSent,
    Sent,
    Admitted,
    Streaming,
    Ended, ///< The request has ended.
};

/// \brief Rules for the attempts of one request.
struct AttemptPolicy
{
    bool isIdempotent = true; ///< Whether several attempts may run; otherwise at most one ever may.
    bool isResumable = true; ///< Whether a new attempt continues after the text delivered so far; otherwise it starts over.
    std::uint32_t maximumAttempts = 6;
    std::uint32_t maximumTokens = 0; ///< Number of tokens at which the answer is whole; 0 if unknown.
    std::chrono::microseconds defaultRetryAfter = std::chrono::seconds(1); ///< Advice to the caller if no agent gave one.
};

/// \brief State machine of one request and its attempts.
///
/// Each event returns the actions to execute. The caller gets exactly one whole answer in order, or exactly one error. Events of attempts
/// other than the current one are ignored.
class AttemptTracker
{
public:
    AttemptTracker(const AttemptPolicy &policy, RetryBudget &budget);

    /// \brief Starts the first attempt.
    AttemptActions start();

    /// \brief Handles that there is no backend server for the current attempt.
    AttemptActions handleNoCandidate();

    /// \brief Handles that all backend servers that could serve the request have reported that they would refuse it.
    AttemptActions handleOverload();

    /// \brief Marks \a attempt as passed to the connection to \a server; from now on it may run.
    void markSent(std::uint32_t attempt, BackendServerId server);

    /// \brief Handles that no byte of \a attempt was sent to \a server.
    AttemptActions handleNotSent(std::uint32_t attempt, BackendServerId server);

    /// \brief Marks \a attempt as admitted by its agent.
    void markAdmitted(std::uint32_t attempt);

    /// \brief Handles a refusal of \a attempt by its agent; \a retryAfter is the advice of the agent, zero if it gave none.
    AttemptActions handleRefusal(std::uint32_t attempt, AttemptRefusal reason, std::chrono::microseconds retryAfter);

    /// \brief Handles a frame with \a text of \a tokens tokens; \a sequence counts from 1 within \a attempt.
    AttemptActions handleFrame(std::uint32_t attempt, std::uint64_t sequence, std::string_view text, std::uint32_t tokens);

    /// \brief Handles the end of \a attempt; \a sequence is one more than that of its last frame.
    AttemptActions handleEnd(std::uint32_t attempt, std::uint64_t sequence, AttemptEnd kind);

    /// \brief Handles the loss of the agent of \a attempt: it is dead, unreachable or restarted as a new incarnation.
    AttemptActions handleAgentLost(std::uint32_t attempt);

    /// \brief Handles the end of the time that the caller allowed for the request.
    AttemptActions handleDeadline();

    /// \brief Handles that the caller has disconnected, so that no answer is needed.
    AttemptActions handleCallerGone();

    AttemptState state() const;
    std::uint32_t attempt() const;
    std::uint32_t deliveredTokens() const;

    /// \brief Returns the backend servers to which further attempts must not go.
    const std::vector<BackendServerId> &excluded() const;

    /// \brief Returns what is currently known about whether the request has been run.
    RunState runState() const;

private:
    bool isCurrent(std::uint32_t attempt) const;
    bool isInFlight() const;
    void appendCancel(AttemptActions &actions) const;
    AttemptActions handleLostAttempt();
    void end();
    void appendRetry(AttemptActions &actions, bool isUsingBudget);
    void appendFailure(AttemptActions &actions, FailureReason reason);
    std::optional<std::chrono::microseconds> suggestedRetryDelay(FailureReason reason) const;

    AttemptPolicy m_policy;
    RetryBudget &m_budget;
    AttemptState m_state = AttemptState::NotSent;
    std::uint32_t m_attempt = 0;
    std::uint64_t m_lastSequence = 0;
    std::uint32_t m_deliveredTokens = 0;
    bool m_hasDelivered = false;
    bool m_mayHaveRun = false; ///< Whether an earlier attempt was sent and not refused.
    BackendServerId m_server{};
    std::vector<BackendServerId> m_excluded;
    FailureReason m_lastFailure = FailureReason::NoBackendServer;
    AttemptRefusal m_lastRefusal = AttemptRefusal::None;
    std::chrono::microseconds m_retryAfter{0};
};

} // namespace Verbena::Decisions
