#include "requestattempts.h"

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
    m_arrivals += failure != CallFailure::Unacknowledged && hasSent ? 1 : 0;
}

void RequestAttempts::count(AttemptState &state, CallFailure failure)
{
    state.unacknowledged += failure == CallFailure::Unacknowledged ? 1 : 0;
    state.runs += mayBeRun(failure) ? 1 : 0;
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

const std::vector<std::string> &RequestAttempts::servers() const
{
    return m_servers;
}

} // namespace Verbena::Decisions
