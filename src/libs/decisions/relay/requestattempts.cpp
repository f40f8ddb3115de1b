#include "requestattempts.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

bool mayBeRun(CallFailure failure)
{
    return failure == CallFailure::Lost || failure == CallFailure::ServerError;
}

} // namespace

void RequestAttempts::setRoute(const RelayRoute &route)
{
    m_state.kind = route.kind;
    m_state.isRepeatable = route.isRepeatable();
    m_state.maximumRuns = route.attempts;
}

void RequestAttempts::recordSend(const std::string &serverId)
{
    ++m_state.sends;
    m_servers.push_back(serverId);
}

void RequestAttempts::recordEnd(CallFailure failure, bool hasSent)
{
    count(m_state, failure);
    if (mayBeRun(failure)) {
        m_ranAt.push_back(m_servers.back());
    }
    m_arrivals += failure != CallFailure::Unacknowledged && hasSent ? 1 : 0;
}

void RequestAttempts::count(AttemptState &state, CallFailure failure) const
{
    const std::string &server = m_servers.back();
    const bool isUnacknowledged = failure == CallFailure::Unacknowledged;
    const bool isRepeated = std::find(m_ranAt.begin(), m_ranAt.end(), server) != m_ranAt.end();
    state.hasServerError = state.hasServerError || failure == CallFailure::ServerError;
    state.unacknowledged += isUnacknowledged ? 1 : 0;
    state.runs += mayBeRun(failure) ? 1 : 0;
    state.repeatedRuns += mayBeRun(failure) && isRepeated ? 1 : 0;
    if (server == m_left && (mayBeRun(failure) || isUnacknowledged)) {
        state.mayReturn = false;
    }
}

// Only a server that is counted among those that ran the request may run it again without taking an attempt.
void RequestAttempts::recordLeave(CallFailure failure, bool hasSent)
{
    recordEnd(failure, hasSent);
    if (failure == CallFailure::Lost) {
        m_left = m_servers.back();
        m_state.mayReturn = true;
    }
}

void RequestAttempts::recordServerEnd()
{
    ++m_state.endedRuns;
}

AttemptState RequestAttempts::state(bool isAnswerBegun) const
{
    AttemptState state = m_state;
    state.isAnswerBegun = isAnswerBegun;
    return state;
}

AttemptState RequestAttempts::stateAfter(CallFailure failure, bool isAnswerBegun) const
{
    AttemptState after = state(isAnswerBegun);
    count(after, failure);
    return after;
}

std::uint32_t RequestAttempts::sends() const
{
    return m_state.sends;
}

std::uint32_t RequestAttempts::arrivals() const
{
    return m_arrivals;
}

bool RequestAttempts::isUnsent() const
{
    return m_arrivals + m_state.unacknowledged == 0;
}

bool RequestAttempts::mayHaveRun() const
{
    return m_state.mayHaveRun();
}

// Attempts bound the servers that run a request. Where they are used up, it may still go on at the one that this router took it off, if that reports.
void RequestAttempts::limit(FleetQuery &query, const AttemptState &state) const
{
    query.excluded = m_servers;
    if (!state.mayReturn) {
        return;
    }
    std::erase(query.excluded, m_left);
    if (!state.mayRunElsewhere()) {
        query.onlyServer = m_left;
        query.needsTimelyReport = true;
    }
}

} // namespace Verbena::Decisions
