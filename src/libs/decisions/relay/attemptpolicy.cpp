#include "attemptpolicy.h"

namespace Verbena::Decisions {

namespace {

// Calls for one request, whatever becomes of them: enough to get past a group of backend servers that went at once, few enough that a request does
// not wander until its deadline.
constexpr std::uint32_t maximumSends = 4;

} // namespace

std::string_view attemptActionName(AttemptAction action)
{
    switch (action) {
    case AttemptAction::SendAgain:
        return "send_again";
    case AttemptAction::AwaitResend:
        return "await_resend";
    case AttemptAction::AwaitTrial:
        return "await_trial";
    case AttemptAction::Refuse:
        return "refuse";
    case AttemptAction::ReportLost:
        return "report_lost";
    case AttemptAction::PassAnswer:
        return "pass_answer";
    case AttemptAction::CutStream:
        return "cut_stream";
    }
    return "unknown";
}

std::string_view callFailureName(CallFailure failure)
{
    switch (failure) {
    case CallFailure::NotSent:
        return "not_sent";
    case CallFailure::NotRun:
        return "not_run";
    case CallFailure::Lost:
        return "lost";
    case CallFailure::ServerError:
        return "server_error";
    }
    return "unknown";
}

bool mayBeSentAgain(const AttemptState &state, CallFailure failure)
{
    if (state.sends >= maximumSends) {
        return false;
    }
    if (state.isAnswerBegun && !(state.kind == RequestKind::Streaming && state.isRepeatable)) {
        return false;
    }
    const bool isProvedNotRun = failure == CallFailure::NotSent || failure == CallFailure::NotRun;
    if (isProvedNotRun) {
        return state.runs == 0 || (state.isRepeatable && state.runs < state.attempts);
    }
    return state.isRepeatable && state.runs < state.attempts;
}

bool mayBeMoved(const AttemptState &state)
{
    AttemptState moved = state;
    ++moved.runs;
    return state.isAnswerBegun && mayBeSentAgain(moved, CallFailure::Lost);
}

AttemptAction finalAction(const AttemptState &state, CallFailure failure)
{
    if (state.isAnswerBegun) {
        return AttemptAction::CutStream;
    }
    if (failure == CallFailure::ServerError) {
        return AttemptAction::PassAnswer;
    }
    return state.runs == 0 ? AttemptAction::Refuse : AttemptAction::ReportLost;
}

} // namespace Verbena::Decisions
