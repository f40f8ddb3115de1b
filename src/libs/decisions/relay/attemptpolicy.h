#pragma once

#include "relayconfiguration.h"

#include <cstdint>
#include <string_view>

namespace Verbena::Decisions {

/// \brief How a call to one backend server ended without the answer that the caller gets.
enum class CallFailure {
    NotSent, ///< No byte of the request left: no connection could be made.
    NotRun, ///< The backend server proved that it did not run the request.
    Lost, ///< The connection broke, or something came that is no answer to this request.
    ServerError, ///< A whole answer that reports a failure of the backend server.
};

/// \brief What becomes of a request after such an end.
enum class AttemptAction {
    SendAgain, ///< To another backend server.
    AwaitResend, ///< The same, as soon as the budget of this router has filled.
    AwaitTrial, ///< The same, if it may go as a trial although backend servers ended under it.
    Refuse, ///< The caller is told that it has not run and when to come back.
    ReportLost, ///< The caller is told that nobody knows whether it ran.
    PassAnswer, ///< The caller gets the backend server's own answer.
    CutStream, ///< Part of the answer is with the caller already; it must look incomplete.
};

/// \brief The stable name of \a action in logs.
std::string_view attemptActionName(AttemptAction action);
/// \brief The stable name of \a failure in logs.
std::string_view callFailureName(CallFailure failure);

/// \brief What is known of a request when one of its calls fails.
struct AttemptState
{
    RequestKind kind = RequestKind::NonIdempotent;
    bool isRepeatable = false;
    std::uint32_t runs = 0; ///< Calls that may have run, the failed one among them.
    std::uint32_t attempts = 1; ///< Backend servers that may run it.
    std::uint32_t sends = 0; ///< Calls of any outcome.
    bool isAnswerBegun = false; ///< Part of the answer is with the caller.
};

/// \brief Whether a request may go to another backend server after \a failure, if the budget and the deadline allow it.
bool mayBeSentAgain(const AttemptState &state, CallFailure failure);

/// \brief Whether a stream that runs may be ended by this router to go on elsewhere.
bool mayBeMoved(const AttemptState &state);

/// \brief What to do if it is not sent again.
AttemptAction finalAction(const AttemptState &state, CallFailure failure);

} // namespace Verbena::Decisions
