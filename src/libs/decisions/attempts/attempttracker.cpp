#include "attempttracker.h"

namespace Verbena::Decisions {

namespace {

// A refusal for want of room says that the fleet is busy, and asking elsewhere adds to that. The others concern that
// backend server alone.
bool isForWantOfRoom(AttemptRefusal reason)
{
    return reason == AttemptRefusal::QueueFull || reason == AttemptRefusal::DeadlineTooNear || reason == AttemptRefusal::Overload;
}

} // namespace

AttemptTracker::AttemptTracker(const AttemptPolicy &policy, RetryBudget &budget)
    : m_policy(policy)
    , m_budget(budget)
{
}

AttemptActions AttemptTracker::start()
{
    m_attempt = 1;
    return AttemptActions(1, DispatchAttempt{m_attempt, 0});
}

AttemptActions AttemptTracker::noteNoCandidate()
{
    AttemptActions actions;
    if (m_state == AttemptState::NotSent) {
        appendFailure(actions, m_lastFailure);
    }
    return actions;
}

AttemptActions AttemptTracker::noteOverload()
{
    AttemptActions actions;
    if (m_state == AttemptState::NotSent) {
        m_lastRefusal = AttemptRefusal::Overload;
        appendFailure(actions, FailureReason::Refused);
    }
    return actions;
}

void AttemptTracker::noteSent(std::uint32_t attempt, BackendServerId server)
{
    if (isCurrent(attempt) && m_state == AttemptState::NotSent) {
        m_state = AttemptState::Sent;
        m_server = server;
    }
}

AttemptActions AttemptTracker::noteNotSent(std::uint32_t attempt, BackendServerId server)
{
    AttemptActions actions;
    if (isCurrent(attempt) && m_state == AttemptState::NotSent) {
        m_excluded.push_back(server);
        m_lastFailure = FailureReason::Unreachable;
        appendRetry(actions, false);
    }
    return actions;
}

void AttemptTracker::noteAdmitted(std::uint32_t attempt)
{
    if (isCurrent(attempt) && m_state == AttemptState::Sent) {
        m_state = AttemptState::Admitted;
    }
}

AttemptActions AttemptTracker::noteRefused(std::uint32_t attempt, AttemptRefusal reason, std::chrono::microseconds retryAfter)
{
    if (!isCurrent(attempt) || !isWithAgent()) {
        return {};
    }
    // Frames and a refusal of the same attempt contradict each other, and a duplicate may be running in its first copy.
    if (m_state == AttemptState::Streaming || reason == AttemptRefusal::Duplicate) {
        return loseAttempt();
    }
    m_lastFailure = FailureReason::Refused;
    m_lastRefusal = reason;
    m_retryAfter = retryAfter;
    // An agent that came back as a new incarnation may well serve the request now.
    if (reason != AttemptRefusal::Incarnation) {
        m_excluded.push_back(m_server);
    }
    m_state = AttemptState::NotSent;
    AttemptActions actions;
    appendRetry(actions, isForWantOfRoom(reason));
    return actions;
}

AttemptActions AttemptTracker::noteFrame(std::uint32_t attempt, std::uint64_t sequence, std::string_view text, std::uint32_t tokens)
{
    if (!isCurrent(attempt) || !isWithAgent() || sequence <= m_lastSequence) {
        return {};
    }
    m_state = AttemptState::Streaming;
    if (sequence != m_lastSequence + 1) {
        return loseAttempt();
    }
    m_lastSequence = sequence;
    m_deliveredTokens += tokens;
    m_hasDelivered = true;
    return AttemptActions(1, DeliverText{text, tokens});
}

AttemptActions AttemptTracker::noteEnded(std::uint32_t attempt, std::uint64_t sequence, AttemptEnd kind)
{
    if (!isCurrent(attempt) || !isWithAgent()) {
        return {};
    }
    const bool isWhole = sequence == m_lastSequence + 1;
    // What a backend server answers with an error is its answer, unless the caller has a part of another one already.
    const bool isRejected = kind == AttemptEnd::Rejected && isWhole;
    if (isRejected && m_hasDelivered && m_policy.isResumable) {
        AttemptActions actions;
        appendFailure(actions, FailureReason::BackendError);
        return actions;
    }
    if (isRejected || (kind == AttemptEnd::Complete && isWhole)) {
        m_hasDelivered = true;
        end();
        m_budget.noteSuccess();
        return AttemptActions(1, FinishRequest{kind});
    }
    return loseAttempt();
}

AttemptActions AttemptTracker::noteAgentLost(std::uint32_t attempt)
{
    return isCurrent(attempt) && isWithAgent() ? loseAttempt() : AttemptActions();
}

AttemptActions AttemptTracker::noteDeadline()
{
    AttemptActions actions;
    if (m_state != AttemptState::Ended) {
        appendCancel(actions);
        appendFailure(actions, FailureReason::DeadlineExceeded);
    }
    return actions;
}

AttemptActions AttemptTracker::noteCallerGone()
{
    AttemptActions actions;
    appendCancel(actions);
    end();
    return actions;
}

AttemptState AttemptTracker::state() const
{
    return m_state;
}

std::uint32_t AttemptTracker::attempt() const
{
    return m_attempt;
}

std::uint32_t AttemptTracker::deliveredTokens() const
{
    return m_deliveredTokens;
}

const std::vector<BackendServerId> &AttemptTracker::excluded() const
{
    return m_excluded;
}

RunState AttemptTracker::runState() const
{
    if (m_hasDelivered || m_state == AttemptState::Streaming) {
        return RunState::Run;
    }
    return m_mayHaveRun || isWithAgent() ? RunState::Unknown : RunState::NotRun;
}

bool AttemptTracker::isCurrent(std::uint32_t attempt) const
{
    return attempt == m_attempt;
}

bool AttemptTracker::isWithAgent() const
{
    return m_state == AttemptState::Sent || m_state == AttemptState::Admitted || m_state == AttemptState::Streaming;
}

void AttemptTracker::appendCancel(AttemptActions &actions) const
{
    if (isWithAgent()) {
        actions.push_back(CancelAttempt{m_attempt, m_server});
    }
}

// What is lost may have run. Only an idempotent request may go on elsewhere.
AttemptActions AttemptTracker::loseAttempt()
{
    AttemptActions actions;
    appendCancel(actions);
    m_lastFailure = FailureReason::Lost;
    m_mayHaveRun = true;
    m_hasDelivered = m_hasDelivered || m_state == AttemptState::Streaming;
    m_excluded.push_back(m_server);
    m_state = AttemptState::NotSent;
    const bool hasAllTokens = m_policy.isResumable && m_policy.maximumTokens > 0 && m_deliveredTokens >= m_policy.maximumTokens;
    if (hasAllTokens) {
        // Only the word that it is over was lost.
        end();
        actions.push_back(FinishRequest{AttemptEnd::Complete});
    } else if (m_policy.isIdempotent) {
        appendRetry(actions, true);
    } else {
        appendFailure(actions, m_lastFailure);
    }
    return actions;
}

// What is known of whether the request has been run stays known after its end.
void AttemptTracker::end()
{
    m_mayHaveRun = m_mayHaveRun || isWithAgent();
    m_hasDelivered = m_hasDelivered || m_state == AttemptState::Streaming;
    m_state = AttemptState::Ended;
}

void AttemptTracker::appendRetry(AttemptActions &actions, bool isTakingBudget)
{
    if (m_attempt >= m_policy.maximumAttempts) {
        appendFailure(actions, m_lastFailure);
        return;
    }
    if (isTakingBudget && !m_budget.tryTake()) {
        appendFailure(actions, FailureReason::RetriesUsedUp);
        return;
    }
    ++m_attempt;
    m_lastSequence = 0;
    if (!m_policy.isResumable) {
        m_deliveredTokens = 0;
    }
    actions.push_back(DispatchAttempt{m_attempt, m_deliveredTokens});
}

void AttemptTracker::appendFailure(AttemptActions &actions, FailureReason reason)
{
    end();
    actions.push_back(FailRequest{reason, runState(), m_lastRefusal, retryAdvice(reason)});
}

// Who may not repeat a request that perhaps ran, and who asked for too short a deadline, gains nothing by coming back.
std::optional<std::chrono::microseconds> AttemptTracker::retryAdvice(FailureReason reason) const
{
    const bool isRepeatable = m_policy.isIdempotent || runState() == RunState::NotRun;
    const bool isTransient = reason != FailureReason::DeadlineExceeded && reason != FailureReason::BackendError;
    if (!isRepeatable || !isTransient) {
        return std::nullopt;
    }
    return m_retryAfter.count() > 0 ? m_retryAfter : m_policy.defaultRetryAfter;
}

} // namespace Verbena::Decisions
