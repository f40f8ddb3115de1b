#include "wireconversion.h"

#include <algorithm>

namespace Verbena::Agent {

namespace {

constexpr std::size_t maximumIdLength = 128;

// What goes into a header line or a path must not end the line.
bool isVisible(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char letter) { return letter > 0x20 && letter < 0x7f; });
}

} // namespace

std::optional<std::string> problemOf(const verbena::wire::Dispatch &dispatch)
{
    if (dispatch.request().empty() || dispatch.request().size() > maximumIdLength || !isVisible(dispatch.request()) || dispatch.attempt() == 0) {
        return "The request's id or attempt is not valid.";
    }
    if (!dispatch.path().starts_with('/') || !isVisible(dispatch.path())) {
        return "The path is not valid.";
    }
    return std::nullopt;
}

Decisions::GateRequest gateRequestOf(const AgentRun &run)
{
    const verbena::wire::Dispatch &dispatch = run.dispatch;
    Decisions::GateRequest request;
    request.ref = run.ref();
    request.flow = {dispatch.organisation(), dispatch.team(), dispatch.request_class()};
    request.mark = dispatch.mark();
    request.version = {dispatch.model(), dispatch.adapter(), dispatch.weights_version()};
    request.isServiceCall = dispatch.kind() == verbena::wire::RUN_KIND_SERVICE_CALL;
    request.keys = prefixKeysOf(dispatch.prefix_keys());
    request.promptTokens = dispatch.prompt_tokens();
    request.maximumTokens = dispatch.maximum_tokens();
    request.resumeTokens = dispatch.resume_tokens();
    request.deadline = run.deadline;
    request.isIdempotent = dispatch.idempotent();
    return request;
}

std::vector<Decisions::PrefixKey> prefixKeysOf(const google::protobuf::RepeatedField<std::uint64_t> &keys)
{
    std::vector<Decisions::PrefixKey> result;
    result.reserve(static_cast<std::size_t>(keys.size()));
    for (const std::uint64_t key : keys) {
        result.push_back(Decisions::PrefixKey(key));
    }
    return result;
}

verbena::wire::RefusalReason refusalReasonOf(Decisions::GateRefusal reason)
{
    switch (reason) {
    case Decisions::GateRefusal::QueueFull:
        return verbena::wire::REFUSAL_REASON_QUEUE_FULL;
    case Decisions::GateRefusal::Deadline:
        return verbena::wire::REFUSAL_REASON_DEADLINE;
    case Decisions::GateRefusal::Overload:
        return verbena::wire::REFUSAL_REASON_OVERLOAD;
    case Decisions::GateRefusal::Leaving:
        return verbena::wire::REFUSAL_REASON_LEAVING;
    case Decisions::GateRefusal::NotServed:
        return verbena::wire::REFUSAL_REASON_NOT_SERVED;
    case Decisions::GateRefusal::EngineDown:
        return verbena::wire::REFUSAL_REASON_ENGINE_DOWN;
    case Decisions::GateRefusal::Superseded:
        break;
    }
    return verbena::wire::REFUSAL_REASON_UNSPECIFIED;
}

verbena::wire::EndKind endKindOf(BackendEnd::Kind kind)
{
    switch (kind) {
    case BackendEnd::Kind::Complete:
        return verbena::wire::END_KIND_COMPLETE;
    case BackendEnd::Kind::Rejected:
        return verbena::wire::END_KIND_REJECTED;
    case BackendEnd::Kind::NotSent:
    case BackendEnd::Kind::Lost:
        break;
    }
    return verbena::wire::END_KIND_ENGINE_LOST;
}

Decisions::RunOutcome outcomeOf(const AgentRun &run, const BackendEnd &end)
{
    Decisions::RunOutcome outcome;
    outcome.completionTokens = run.tokens;
    if (end.kind == BackendEnd::Kind::Complete) {
        outcome.end = Decisions::RunEnd::Complete;
    } else {
        outcome.end = end.kind == BackendEnd::Kind::Rejected ? Decisions::RunEnd::Failed : Decisions::RunEnd::EngineLost;
    }
    if (end.usage) {
        outcome.promptTokens = end.usage->promptTokens;
        outcome.cachedTokens = end.usage->cachedTokens;
    }
    return outcome;
}

void fillEnded(const AgentRun &run, verbena::wire::EndKind kind, const BackendEnd &end, verbena::wire::Ended &ended)
{
    ended.set_request(run.dispatch.request());
    ended.set_attempt(run.dispatch.attempt());
    ended.set_kind(kind);
    ended.set_status(end.status);
    ended.set_content_type(end.contentType);
    ended.set_finish_reason(end.finishReason);
    ended.set_detail(end.detail);
    ended.set_completion_tokens(run.tokens);
    if (end.usage) {
        ended.set_prompt_tokens(end.usage->promptTokens);
        ended.set_cached_tokens(end.usage->cachedTokens.value_or(0));
        ended.set_completion_tokens(end.usage->completionTokens);
    }
    ended.set_queue_wait_us(static_cast<std::uint64_t>(run.queueWait.count()));
}

void fillLoadHint(const Decisions::LoadReport &load, const std::optional<Decisions::HotPrefixHint> &heat, verbena::wire::LoadHint &hint)
{
    hint.set_incarnation(load.incarnation);
    hint.set_queued_work_us(static_cast<std::uint64_t>(load.queuedWork.count()));
    hint.set_running(load.running);
    hint.set_queued(load.queued);
    hint.set_overload_level(load.overloadLevel);
    hint.set_prefill_us_per_piece(static_cast<std::uint64_t>(load.prefillPerPiece.count()));
    hint.set_leaving(load.isLeaving);
    if (heat) {
        hint.set_heat_key(static_cast<std::uint64_t>(heat->key));
        hint.set_heat_width(heat->width);
    }
}

} // namespace Verbena::Agent
