#include "answerformat.h"

#include <nlohmann/json.hpp>

#include <array>

namespace Verbena::Router {

namespace {

using nlohmann::json;

// Invalid UTF-8 must not make the answer fail, so it is replaced by the replacement character.
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

json errorJson(const RequestFailure &failure)
{
    return {{"error", {{"message", failure.message}, {"type", failure.type}, {"code", failure.code}, {"verbena_run", runStateName(failure.run)}}}};
}

bool isPlainAscii(char letter)
{
    return letter >= ' ' && letter < '\x7f' && letter != '"' && letter != '\\';
}

// Nearly all text needs no escaping, and the JSON library is slow for pieces as short as a token.
void appendQuoted(std::string_view text, std::string &output)
{
    if (std::all_of(text.begin(), text.end(), isPlainAscii)) {
        output += '"';
        output += text;
        output += '"';
    } else {
        output += dump(json(text));
    }
}

} // namespace

AnswerFormat::AnswerFormat(CallerInterface interface, std::string requestId, std::string model)
    : m_interface(interface)
    , m_requestId(std::move(requestId))
    , m_model(std::move(model))
{
    // All events of a stream have the same head and tail, so only the text is formatted for each event.
    const bool isChat = interface == CallerInterface::ChatCompletions;
    const char *object = isChat ? "chat.completion.chunk" : "text_completion";
    m_chunkHead = "data: {\"id\":" + dump(m_requestId) + ",\"object\":\"" + object + "\",\"model\":" + dump(m_model) + ",\"choices\":[{\"index\":0,";
    m_chunkHead += isChat ? "\"delta\":{\"content\":" : "\"text\":";
    m_chunkTail = isChat ? "},\"finish_reason\":null}]}\n\n" : ",\"finish_reason\":null}]}\n\n";
}

void AnswerFormat::appendChunk(std::string_view text, std::string &output) const
{
    output += m_chunkHead;
    appendQuoted(text, output);
    output += m_chunkTail;
}

std::string AnswerFormat::streamEnd(const std::string &finishReason, const Usage &usage, bool isUsageWanted) const
{
    json last{{"id", m_requestId}, {"model", m_model}};
    if (m_interface == CallerInterface::Completions) {
        last["object"] = "text_completion";
        last["choices"] = json::array({{{"index", 0}, {"text", ""}, {"finish_reason", finishReason}}});
    } else {
        last["object"] = "chat.completion.chunk";
        last["choices"] = json::array({{{"index", 0}, {"delta", json::object()}, {"finish_reason", finishReason}}});
    }
    std::string text = event(dump(last));
    if (isUsageWanted) {
        last["choices"] = json::array();
        last["usage"] = usageJson(usage);
        text += event(dump(last));
    }
    return text + event("[DONE]");
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

std::string AnswerFormat::errorEvent(const RequestFailure &failure)
{
    return event(dump(errorJson(failure)));
}

std::string AnswerFormat::errorBody(const RequestFailure &failure)
{
    return dump(errorJson(failure));
}

std::vector<Http::HttpField> answerFields(const std::string &contentType, const std::string &requestId, Decisions::RunState run)
{
    std::vector<Http::HttpField> fields{{"Content-Type", contentType}, {"Verbena-Run", runStateName(run)}};
    if (!requestId.empty()) {
        fields.push_back({"Verbena-Request", requestId});
    }
    return fields;
}

void respondFailure(Http::HttpExchange &exchange, const std::string &requestId, const RequestFailure &failure)
{
    std::vector<Http::HttpField> fields = answerFields("application/json", requestId, failure.run);
    if (failure.retryAfter.has_value()) {
        const auto seconds = std::max(std::chrono::ceil<std::chrono::seconds>(*failure.retryAfter), std::chrono::seconds(1));
        fields.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    exchange.respond(failure.status, std::move(fields), AnswerFormat::errorBody(failure));
}

} // namespace Verbena::Router
