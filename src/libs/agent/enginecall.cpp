#include "enginecall.h"

#include <nlohmann/json.hpp>

namespace Verbena::Agent {

EngineCall::EngineCall(std::string router, std::string request, std::uint32_t attempt, EngineCallListener &listener)
    : m_router(std::move(router))
    , m_request(std::move(request))
    , m_attempt(attempt)
    , m_listener(listener)
{
}

void EngineCall::receiveData(int, std::string_view data)
{
    m_parser.feed(data, [this](std::string_view event) { receiveEvent(event); });
}

void EngineCall::receiveEvent(std::string_view data)
{
    if (data == "[DONE]") {
        m_isDone = true;
        return;
    }
    const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object()) {
        return;
    }
    if (event.contains("usage") && event["usage"].is_object()) {
        const nlohmann::json &usage = event["usage"];
        m_end.set_prompt_tokens(usage.value("prompt_tokens", 0U));
        m_end.set_completion_tokens(usage.value("completion_tokens", 0U));
        m_end.set_cached_tokens(usage.value("cached_tokens", 0U));
    }
    if (!event.contains("choices") || event["choices"].empty()) {
        return;
    }
    const nlohmann::json &choice = event["choices"][0];
    const std::string text = choice.value("text", "");
    if (!text.empty()) {
        sendFrame(text);
    }
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
        m_end.set_finish_reason(choice["finish_reason"].get<std::string>());
    }
}

void EngineCall::sendFrame(const std::string &text)
{
    verbena::wire::Envelope envelope;
    verbena::wire::Frame &frame = *envelope.mutable_frame();
    frame.set_request(m_request);
    frame.set_attempt(m_attempt);
    frame.set_sequence(++m_lastSequence);
    frame.set_tokens(1);
    frame.set_text(text);
    m_listener.sendToRouter(m_router, envelope);
}

void EngineCall::finish(Core::Result<int> status)
{
    verbena::wire::Envelope envelope;
    verbena::wire::Ended &ended = *envelope.mutable_ended();
    ended = m_end;
    ended.set_request(m_request);
    ended.set_attempt(m_attempt);
    ended.set_sequence(m_lastSequence + 1);
    ended.set_kind(status && m_isDone ? verbena::wire::END_KIND_COMPLETE : verbena::wire::END_KIND_ENGINE_LOST);
    ended.set_status(status ? status.value() : 0);
    m_listener.sendToRouter(m_router, envelope);
}

} // namespace Verbena::Agent
