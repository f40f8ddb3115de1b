#include "wireconversion.h"

#include <core/boundedspan.h>

namespace Verbena::Router {

namespace {

constexpr int tooManyRequestsStatus = 429;
constexpr int firstServerErrorStatus = 500;

bool isEngineFailure(int status)
{
    return status == 0 || status == tooManyRequestsStatus || status >= firstServerErrorStatus;
}

} // namespace

Decisions::AttemptRefusal attemptRefusalOf(verbena::wire::RefusalReason reason)
{
    switch (reason) {
    case verbena::wire::REFUSAL_REASON_QUEUE_FULL:
        return Decisions::AttemptRefusal::QueueFull;
    case verbena::wire::REFUSAL_REASON_DEADLINE:
        return Decisions::AttemptRefusal::DeadlineTooNear;
    case verbena::wire::REFUSAL_REASON_OVERLOAD:
        return Decisions::AttemptRefusal::Overload;
    case verbena::wire::REFUSAL_REASON_LEAVING:
        return Decisions::AttemptRefusal::Leaving;
    case verbena::wire::REFUSAL_REASON_NOT_SERVED:
        return Decisions::AttemptRefusal::NotServed;
    case verbena::wire::REFUSAL_REASON_INCARNATION:
        return Decisions::AttemptRefusal::Incarnation;
    case verbena::wire::REFUSAL_REASON_DUPLICATE:
        return Decisions::AttemptRefusal::Duplicate;
    case verbena::wire::REFUSAL_REASON_ENGINE_DOWN:
        return Decisions::AttemptRefusal::EngineDown;
    case verbena::wire::REFUSAL_REASON_REDIRECT:
        return Decisions::AttemptRefusal::Redirect;
    default:
        return Decisions::AttemptRefusal::None;
    }
}

Decisions::AttemptEnd attemptEndOf(const verbena::wire::Ended &ended, bool isCompletion)
{
    switch (ended.kind()) {
    case verbena::wire::END_KIND_COMPLETE:
        return Decisions::AttemptEnd::Complete;
    case verbena::wire::END_KIND_CANCELLED:
        return Decisions::AttemptEnd::Cancelled;
    case verbena::wire::END_KIND_DEADLINE:
        return Decisions::AttemptEnd::DeadlinePassed;
    case verbena::wire::END_KIND_REJECTED:
        return isCompletion && isEngineFailure(ended.status()) ? Decisions::AttemptEnd::EngineLost : Decisions::AttemptEnd::Rejected;
    default:
        return Decisions::AttemptEnd::EngineLost;
    }
}

Decisions::RouteRefusal routeRefusalOf(const verbena::wire::Refused &refused)
{
    Decisions::RouteRefusal refusal;
    refusal.retryAfter = Core::boundedSpan<std::chrono::microseconds>(refused.retry_after_us());
    refusal.isUnavailable = refused.reason() == verbena::wire::REFUSAL_REASON_LEAVING || refused.reason() == verbena::wire::REFUSAL_REASON_ENGINE_DOWN;
    if (!refused.redirect().empty()) {
        refusal.redirect = Decisions::backendServerId(refused.redirect());
    }
    return refusal;
}

Decisions::LoadReport loadReportOf(const verbena::wire::LoadHint &hint)
{
    Decisions::LoadReport report;
    report.incarnation = hint.incarnation();
    report.queuedWork = Core::boundedSpan<std::chrono::microseconds>(hint.queued_work_us());
    report.running = hint.running();
    report.queued = hint.queued();
    report.overloadLevel = hint.overload_level();
    report.prefillPerPiece = Core::boundedSpan<std::chrono::microseconds>(hint.prefill_us_per_piece());
    report.isLeaving = hint.leaving();
    return report;
}

const verbena::wire::LoadHint *loadHintOf(const verbena::wire::Envelope &message)
{
    switch (message.body_case()) {
    case verbena::wire::Envelope::kWelcome:
        return message.welcome().has_load() ? &message.welcome().load() : nullptr;
    case verbena::wire::Envelope::kAdmitted:
        return message.admitted().has_load() ? &message.admitted().load() : nullptr;
    case verbena::wire::Envelope::kRefused:
        return message.refused().has_load() ? &message.refused().load() : nullptr;
    case verbena::wire::Envelope::kEnded:
        return message.ended().has_load() ? &message.ended().load() : nullptr;
    default:
        return nullptr;
    }
}

} // namespace Verbena::Router
