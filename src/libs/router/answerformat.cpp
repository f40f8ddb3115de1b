#include "answerformat.h"

#include <nlohmann/json.hpp>

namespace Verbena::Router {

namespace {

using nlohmann::json;

// Bytes that are no UTF-8 must not break the answer; they become the replacement character.
std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string event(const std::string &data)
{
    return "data: " + data + "\n\n";
}

json usageJson(const Usage &usage)
{
    return {{"prompt_tokens", usage.promptTokens},
        {"completion_tokens", usage.completionTokens},
        {"total_tokens", usage.promptTokens + usage.completionTokens},
        {"prompt_tokens_details", {{"cached_tokens", usage.cachedTokens}}}};
}

} // namespace

AnswerFormat::AnswerFormat(CallerInterface interface, std::string requestId, std::string model)
    : m_interface(interface)
    , m_requestId(std::move(requestId))
    , m_model(std::move(model))
{
    const char *object = interface == CallerInterface::Completions ? "text_completion" : "chat.completion.chunk";
    m_chunkHead = "data: {\"id\":" + dump(m_requestId) + ",\"object\":\"" + object + "\",\"model\":" + dump(m_model) + ",\"choices\":[{\"index\":0,";
}

std::string AnswerFormat::chunk(std::string_view text) const
{
    // The head of every event of a stream is the same, so only the text is formatted anew.
    const std::string quoted = dump(json(text));
    if (m_interface == CallerInterface::Completions) {
        return m_chunkHead + "\"text\":" + quoted + ",\"finish_reason\":null}]}\n\n";
    }
    return m_chunkHead + "\"delta\":{\"content\":" + quoted + "},\"finish_reason\":null}]}\n\n";
}

std::string AnswerFormat::streamEnd(const std::string &finishReason, const Usage &usage) const
{
    json last{{"id", m_requestId}, {"model", m_model}, {"usage", usageJson(usage)}};
    if (m_interface == CallerInterface::Completions) {
        last["object"] = "text_completion";
        last["choices"] = json::array({{{"index", 0}, {"text", ""}, {"finish_reason", finishReason}}});
    } else {
        last["object"] = "chat.completion.chunk";
        last["choices"] = json::array({{{"index", 0}, {"delta", json::object()}, {"finish_reason", finishReason}}});
    }
    return event(dump(last)) + event("[DONE]");
}

std::string AnswerFormat::wholeBody(const std::string &text, const std::string &finishReason, const Usage &usage) const
{
    json body{{"id", m_requestId}, {"model", m_model}, {"usage", usageJson(usage)}};
    if (m_interface == CallerInterface::Completions) {
        body["object"] = "text_completion";
        body["choices"] = json::array({{{"index", 0}, {"text", text}, {"finish_reason", finishReason}}});
    } else {
        body["object"] = "chat.completion";
        body["choices"] = json::array({{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}, {"finish_reason", finishReason}}});
    }
    return dump(body);
}

std::string AnswerFormat::errorBody(const std::string &type, const std::string &code, const std::string &message)
{
    return dump({{"error", {{"message", message}, {"type", type}, {"code", code}}}});
}

} // namespace Verbena::Router
