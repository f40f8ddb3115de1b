#include "callerrequest.h"

#include <json/jsontext.h>

#include <algorithm>
#include <array>

namespace Verbena::Router {

namespace {

using nlohmann::json;

constexpr std::uint32_t maximumTokensLimit = 1U << 20;

// Fields that the router evaluates itself; all others are passed on to the engine.
constexpr std::array<std::string_view, 8> routerFields{"model", "prompt", "messages", "max_tokens", "max_completion_tokens", "stream", "stream_options", "n"};

// Fields with this prefix are reserved for messages between agents and engines, so callers may not set them.
constexpr std::string_view internalPrefix = "verbena_";

Core::Error invalid(const std::string &message)
{
    return Core::Error{Core::ErrorCode::InvalidArgument, "caller.request", "", message};
}

Core::Result<void> readPrompt(const json &prompt, CallerRequest &request)
{
    if (prompt.is_string()) {
        request.promptText = prompt.get<std::string>();
        return Core::success();
    }
    if (!prompt.is_array()) {
        return invalid("The field 'prompt' must be a text or a list of token ids.");
    }
    request.promptTokens.reserve(prompt.size());
    for (const json &token : prompt) {
        if (!token.is_number_unsigned() || token.get<std::uint64_t>() > UINT32_MAX) {
            return invalid("The field 'prompt' must be a text or a list of token ids.");
        }
        request.promptTokens.push_back(token.get<std::uint32_t>());
    }
    return Core::success();
}

bool isTextPart(const json &part)
{
    return part.is_object() && part.contains("type") && part["type"] == "text" && part.contains("text") && part["text"].is_string();
}

Core::Result<std::string> readContent(const json &content)
{
    if (content.is_string()) {
        return content.get<std::string>();
    }
    if (!content.is_array() || !std::all_of(content.begin(), content.end(), isTextPart)) {
        return invalid("The field 'content' of a message must be a text or a list of parts of type 'text'.");
    }
    std::string text;
    for (const json &part : content) {
        text += part["text"].get<std::string>();
    }
    return text;
}

// Joins the messages into one text, so that turns of the same conversation share a prefix.
Core::Result<void> readMessages(const json &messages, CallerRequest &request)
{
    if (!messages.is_array() || messages.empty()) {
        return invalid("The field 'messages' must be a list with at least one message.");
    }
    for (const json &message : messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string() || !message.contains("content")) {
            return invalid("Each message must have the fields 'role' and 'content'.");
        }
        VERBENA_TRY(content, readContent(message["content"]));
        request.promptText += "<|" + message["role"].get<std::string>() + "|>\n" + content + "\n";
    }
    request.promptText += "<|assistant|>\n";
    return Core::success();
}

Core::Result<void> readMaximumTokens(const json &root, CallerRequest &request)
{
    const char *field = root.contains("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    if (!root.contains(field) || root[field].is_null()) {
        return Core::success();
    }
    const json &value = root[field];
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() == 0 || value.get<std::uint64_t>() > maximumTokensLimit) {
        return invalid(std::string("The field '") + field + "' must be a whole number between 1 and " + std::to_string(maximumTokensLimit) + ".");
    }
    request.maximumTokens = value.get<std::uint32_t>();
    return Core::success();
}

Core::Result<bool> readFlag(const json &object, const char *field)
{
    if (!object.contains(field) || object[field].is_null()) {
        return false;
    }
    if (!object[field].is_boolean()) {
        return invalid(std::string("The field '") + field + "' must be true or false.");
    }
    return object[field].get<bool>();
}

Core::Result<void> readStream(const json &root, CallerRequest &request)
{
    VERBENA_TRY(isStream, readFlag(root, "stream"));
    request.isStream = isStream;
    if (root.contains("stream_options") && !root["stream_options"].is_null()) {
        if (!root["stream_options"].is_object()) {
            return invalid("The field 'stream_options' must be an object.");
        }
        VERBENA_TRY(isUsageWanted, readFlag(root["stream_options"], "include_usage"));
        request.isUsageWanted = isUsageWanted;
    }
    return Core::success();
}

Core::Result<void> readSingleChoice(const json &root)
{
    for (const char *field : {"n", "best_of"}) {
        if (root.contains(field) && !root[field].is_null() && root[field] != 1) {
            return invalid(std::string("The field '") + field + "' must be 1: there is one answer to a request.");
        }
    }
    return Core::success();
}

std::string engineBodyOf(const json &root, const CallerRequest &request)
{
    json body = json::object();
    for (const auto &[name, value] : root.items()) {
        const bool isRouterField = std::find(routerFields.begin(), routerFields.end(), name) != routerFields.end();
        if (!isRouterField && !name.starts_with(internalPrefix)) {
            body[name] = value;
        }
    }
    body["model"] = request.model;
    body["max_tokens"] = request.maximumTokens;
    body["stream"] = true;
    if (request.promptTokens.empty()) {
        body["prompt"] = request.promptText;
    } else {
        body["prompt"] = request.promptTokens;
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

Core::Result<CallerRequest> CallerRequest::fromJson(CallerInterface interface, const std::string &body)
{
    if (JsonText::isNestedTooDeep(body)) {
        return invalid("The request body is nested too deep.");
    }
    const json root = json::parse(body, nullptr, false);
    if (!root.is_object()) {
        return invalid("The request body is not a JSON object.");
    }
    CallerRequest request;
    request.interface = interface;
    if (!root.contains("model") || !root["model"].is_string()) {
        return invalid("The field 'model' must be a text.");
    }
    request.model = root["model"].get<std::string>();
    const char *field = interface == CallerInterface::Completions ? "prompt" : "messages";
    if (!root.contains(field)) {
        return invalid(std::string("The field '") + field + "' is required.");
    }
    if (interface == CallerInterface::Completions) {
        BOOST_OUTCOME_TRY(readPrompt(root[field], request));
    } else {
        BOOST_OUTCOME_TRY(readMessages(root[field], request));
    }
    BOOST_OUTCOME_TRY(readMaximumTokens(root, request));
    BOOST_OUTCOME_TRY(readStream(root, request));
    BOOST_OUTCOME_TRY(readSingleChoice(root));
    request.engineBody = engineBodyOf(root, request);
    return request;
}

} // namespace Verbena::Router
