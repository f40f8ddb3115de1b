#pragma once

#include "attemptaction.h"
#include "retrybudget.h"

#include <vector>

namespace Verbena::Decisions {

/// \brief Where the current attempt of a request stands.
enum class AttemptState {
    NotSent,
    Sent,
    Admitted,
    Streaming,
    Ended, ///< The request is over.
};

/// \brief What a request allows.
struct AttemptPolicy
{
    bool isIdempotent = true; ///< False: at most one attempt may ever run.
    bool isResumable = true; ///< A new attempt goes on after the text delivered so far; false: it starts over.
    std::uint32_t maximumAttempts = 6;
    std::uint32_t maximumTokens = 0; ///< The answer is whole at this number of tokens; 0 means unknown.
    std::chrono::microseconds defaultRetryAfter = std::chrono::seconds(1);
};

/// \brief The state machine of one request over its attempts.
///
/// Takes what becomes of attempts and says what to do. The caller gets exactly one whole answer in order or exactly one error.
class AttemptTracker
{
public:
    AttemptTracker(const AttemptPolicy &policy, RetryBudget &budget);

    /// \brief Begins the first attempt.
    AttemptActions start();

    /// \brief The current attempt has no backend server to go to.
    AttemptActions noteNoCandidate();

    /// \brief All backend servers that could take the request have said that they would refuse it.
    AttemptActions noteOverload();

    /// \brief The attempt was handed to the connection to \a server; from now on it may run.
    void noteSent(std::uint32_t attempt, BackendServerId server);

    /// \brief No byte of the attempt was sent to \a server.
    AttemptActions noteNotSent(std::uint32_t attempt, BackendServerId server);

    void noteAdmitted(std::uint32_t attempt);

    /// \brief The agent refused; \a retryAfter is its advice, zero if it gave none.
    AttemptActions noteRefused(std::uint32_t attempt, AttemptRefusal reason, std::chrono::microseconds retryAfter);

    /// \brief A frame has come; \a sequence counts from 1 within an attempt.
    AttemptActions noteFrame(std::uint32_t attempt, std::uint64_t sequence, std::string_view text, std::uint32_t tokens);

    /// \brief The attempt ended; \a sequence is one more than that of its last frame.
    AttemptActions noteEnded(std::uint32_t attempt, std::uint64_t sequence, AttemptEnd kind);

    /// \brief The agent of the attempt is dead, cut off, or back as a new incarnation.
    AttemptActions noteAgentLost(std::uint32_t attempt);

    AttemptActions noteDeadline();

    /// \brief The caller has gone; there is nobody left to answer.
    AttemptActions noteCallerGone();

    AttemptState state() const;
    std::uint32_t attempt() const;
    std::uint32_t deliveredTokens() const;

    /// \brief Backend servers that a further attempt must not go to.
    const std::vector<BackendServerId> &excluded() const;

    /// \brief What is known now of whether the request has been run.
    RunState runState() const;

private:
    bool isCurrent(std::uint32_t attempt) const;
    bool isWithAgent() const;
    void appendCancel(AttemptActions &actions) const;
    AttemptActions loseAttempt();
    void end();
    void appendRetry(AttemptActions &actions, bool isTakingBudget);
    void appendFailure(AttemptActions &actions, FailureReason reason);
    std::optional<std::chrono::microseconds> retryAdvice(FailureReason reason) const;

    AttemptPolicy m_policy;
    RetryBudget &m_budget;
    AttemptState m_state = AttemptState::NotSent;
    std::uint32_t m_attempt = 0;
    std::uint64_t m_lastSequence = 0;
    std::uint32_t m_deliveredTokens = 0;
    bool m_hasDelivered = false;
    bool m_mayHaveRun = false; ///< An earlier attempt was sent and not refused.
    BackendServerId m_server{};
    std::vector<BackendServerId> m_excluded;
    FailureReason m_lastFailure = FailureReason::NoBackendServer;
    AttemptRefusal m_lastRefusal = AttemptRefusal::None;
    std::chrono::microseconds m_retryAfter{0};
};

} // namespace Verbena::Decisions
