#include "attempttracker.h"

namespace Verbena::Decisions {

namespace {

// A refusal for lack of capacity indicates that the whole fleet is busy, and a retry elsewhere adds to its load. Refusals for other
// reasons concern only that backend server.
bool isForLackOfCapacity(AttemptRefusal reason)
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

AttemptActions AttemptTracker::handleNoCandidate()
{
    AttemptActions actions;
    if (m_state == AttemptState::NotSent) {
        appendFailure(actions, m_lastFailure);
    }
    return actions;
}

AttemptActions AttemptTracker::handleOverload()
{
    AttemptActions actions;
    if (m_state == AttemptState::NotSent) {
        m_lastRefusal = AttemptRefusal::Overload;
        appendFailure(actions, FailureReason::Refused);
    }
    return actions;
}

void AttemptTracker::markSent(std::uint32_t attempt, BackendServerId server)
{
    if (isCurrent(attempt) && m_state == AttemptState::NotSent) {
        m_state = AttemptState::Sent;
        m_server = server;
    }
}

AttemptActions AttemptTracker::handleNotSent(std::uint32_t attempt, BackendServerId server)
{
    AttemptActions actions;
    if (isCurrent(attempt) && m_state == AttemptState::NotSent) {
        m_excluded.push_back(server);
        m_lastFailure = FailureReason::Unreachable;
        appendRetry(actions, false);
    }
    return actions;
}

void AttemptTracker::markAdmitted(std::uint32_t attempt)
{
    if (isCurrent(attempt) && m_state == AttemptState::Sent) {
        m_state = AttemptState::Admitted;
    }
}

AttemptActions AttemptTracker::handleRefusal(std::uint32_t attempt, AttemptRefusal reason, std::chrono::microseconds retryAfter)
{
    if (!isCurrent(attempt) || !isInFlight()) {
        return {};
    }
    // A refusal after frames of the same attempt is contradictory, and the first copy of a duplicate may be running.
    if (m_state == AttemptState::Streaming || reason == AttemptRefusal::Duplicate) {
        return handleLostAttempt();
    }
    m_lastFailure = FailureReason::Refused;
    m_lastRefusal = reason;
    m_retryAfter = retryAfter;
    // The new incarnation of a restarted agent may serve the request.
    if (reason != AttemptRefusal::Incarnation) {
        m_excluded.push_back(m_server);
    }
    m_state = AttemptState::NotSent;
    AttemptActions actions;
    appendRetry(actions, isForLackOfCapacity(reason));
    return actions;
}

AttemptActions AttemptTracker::handleFrame(std::uint32_t attempt, std::uint64_t sequence, std::string_view text, std::uint32_t tokens)
{
    if (!isCurrent(attempt) || !isInFlight() || sequence <= m_lastSequence) {
        return {};
    }
    m_state = AttemptState::Streaming;
    if (sequence != m_lastSequence + 1) {
        return handleLostAttempt();
    }
    m_lastSequence = sequence;
    m_deliveredTokens += tokens;
    m_hasDelivered = true;
    return AttemptActions(1, DeliverText{text, tokens});
}

AttemptActions AttemptTracker::handleEnd(std::uint32_t attempt, std::uint64_t sequence, AttemptEnd kind)
{
    if (!isCurrent(attempt) || !isInFlight()) {
        return {};
    }
    const bool isWhole = sequence == m_lastSequence + 1;
    // An error from the backend server is the answer to the request, unless the caller already has a part of another answer.
    const bool isRejected = kind == AttemptEnd::Rejected && isWhole;
    if (isRejected && m_hasDelivered && m_policy.isResumable) {
        AttemptActions actions;
        appendFailure(actions, FailureReason::BackendError);
        return actions;
    }
    if (isRejected || (kind == AttemptEnd::Complete && isWhole)) {
        m_hasDelivered = true;
        end();
        m_budget.recordSuccess();
        return AttemptActions(1, FinishRequest{kind});
    }
    return handleLostAttempt();
}

AttemptActions AttemptTracker::handleAgentLost(std::uint32_t attempt)
{
    return isCurrent(attempt) && isInFlight() ? handleLostAttempt() : AttemptActions();
}

AttemptActions AttemptTracker::handleDeadline()
{
    AttemptActions actions;
    if (m_state != AttemptState::Ended) {
        appendCancel(actions);
        appendFailure(actions, FailureReason::DeadlineExceeded);
    }
    return actions;
}

AttemptActions AttemptTracker::handleCallerGone()
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
    return m_mayHaveRun || isInFlight() ? RunState::Unknown : RunState::NotRun;
}

bool AttemptTracker::isCurrent(std::uint32_t attempt) const
{
    return attempt == m_attempt;
}

bool AttemptTracker::isInFlight() const
{
    return m_state == AttemptState::Sent || m_state == AttemptState::Admitted || m_state == AttemptState::Streaming;
}

void AttemptTracker::appendCancel(AttemptActions &actions) const
{
    if (isInFlight()) {
        actions.push_back(CancelAttempt{m_attempt, m_server});
    }
}

// A lost attempt may have run, so only an idempotent request may continue elsewhere.
AttemptActions AttemptTracker::handleLostAttempt()
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
        // All tokens were delivered; only the message that the attempt ended was lost.
        end();
        actions.push_back(FinishRequest{AttemptEnd::Complete});
    } else if (m_policy.isIdempotent) {
        appendRetry(actions, true);
    } else {
        appendFailure(actions, m_lastFailure);
    }
    return actions;
}

// Preserves the information for runState() after the request has ended.
void AttemptTracker::end()
{
    m_mayHaveRun = m_mayHaveRun || isInFlight();
    m_hasDelivered = m_hasDelivered || m_state == AttemptState::Streaming;
    m_state = AttemptState::Ended;
}

void AttemptTracker::appendRetry(AttemptActions &actions, bool isUsingBudget)
{
    if (m_attempt >= m_policy.maximumAttempts) {
        appendFailure(actions, m_lastFailure);
        return;
    }
    if (isUsingBudget && !m_budget.tryConsume()) {
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
    actions.push_back(FailRequest{reason, runState(), m_lastRefusal, suggestedRetryDelay(reason)});
}

// A retry makes no sense if the request may have run and must not be repeated, nor after a deadline that was too short or an error of the
// backend server.
std::optional<std::chrono::microseconds> AttemptTracker::suggestedRetryDelay(FailureReason reason) const
{
    const bool isRepeatable = m_policy.isIdempotent || runState() == RunState::NotRun;
    const bool isTransient = reason != FailureReason::DeadlineExceeded && reason != FailureReason::BackendError;
    if (!isRepeatable || !isTransient) {
        return std::nullopt;
    }
    return m_retryAfter.count() > 0 ? m_retryAfter : m_policy.defaultRetryAfter;
}

} // namespace Verbena::Decisions
