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

void fillLoadHint(const Decisions::LoadReport &load, const std::optional<Decisions::HeatHint> &heat, verbena::wire::LoadHint &hint)
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
