#include "attemptpolicy.h"

namespace Verbena::Decisions {

namespace {

// Maximum number of calls for one request, whatever their outcome. It is enough to get past a group of backend servers that failed together, and keeps a
// request from being passed on until its deadline.
constexpr std::uint32_t maximumSends = 4;

// The same for a stream that has begun, which waits longer before each further call.
constexpr std::uint32_t maximumStreamSends = 6;

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
    case CallFailure::Unacknowledged:
        return "unacknowledged";
    case CallFailure::Lost:
        return "lost";
    case CallFailure::ServerError:
        return "server_error";
    }
    return "unknown";
}

bool mayResend(const AttemptState &state, CallFailure failure)
{
    if (state.sends >= (state.isAnswerBegun ? maximumStreamSends : maximumSends)) {
        return false;
    }
    if (state.isAnswerBegun && !(state.kind == RequestKind::Streaming && state.isRepeatable && state.isContinuable)) {
        return false;
    }
    const bool isProvedNotRun = failure == CallFailure::NotSent || failure == CallFailure::NotRun;
    if (isProvedNotRun) {
        return !state.mayHaveRun() || state.mayRunOnceMore();
    }
    // The server's own answer is better than none, which is what may come of a return.
    return failure == CallFailure::ServerError ? state.mayRunElsewhere() : state.mayRunOnceMore();
}

bool mayMoveStream(const AttemptState &state)
{
    AttemptState moved = state;
    ++moved.runs;
    moved.mayReturn = false;
    return state.isAnswerBegun && mayResend(moved, CallFailure::Lost);
}

AttemptAction actionWithoutResend(const AttemptState &state, CallFailure failure)
{
    if (state.isAnswerBegun) {
        return AttemptAction::CutStream;
    }
    // It tells the caller more than an answer of this router, whatever became of the calls after it.
    if (state.hasServerError || failure == CallFailure::ServerError) {
        return AttemptAction::PassAnswer;
    }
    const bool isProvedNotRun = !state.mayHaveRun() && failure != CallFailure::Unacknowledged;
    return isProvedNotRun ? AttemptAction::Refuse : AttemptAction::ReportLost;
}

} // namespace Verbena::Decisions
