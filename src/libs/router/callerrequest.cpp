#include "callerrequest.h"

#include <nlohmann/json.hpp>

namespace Verbena::Router {

namespace {

using nlohmann::json;

constexpr std::uint32_t maximumTokensLimit = 1U << 20;

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
    for (const json &token : prompt) {
        if (!token.is_number_unsigned() || token.get<std::uint64_t>() > UINT32_MAX) {
            return invalid("The field 'prompt' must be a text or a list of token ids.");
        }
        request.promptTokens.push_back(token.get<std::uint32_t>());
    }
    return Core::success();
}

// A chat becomes one text, so that turns of the same conversation share their prefix.
Core::Result<void> readMessages(const json &messages, CallerRequest &request)
{
    if (!messages.is_array() || messages.empty()) {
        return invalid("The field 'messages' must be a list with at least one message.");
    }
    for (const json &message : messages) {
        const bool isValid
            = message.is_object() && message.contains("role") && message["role"].is_string() && message.contains("content") && message["content"].is_string();
        if (!isValid) {
            return invalid("Each message must have the texts 'role' and 'content'.");
        }
        request.promptText += "<|" + message["role"].get<std::string>() + "|>\n" + message["content"].get<std::string>() + "\n";
    }
    request.promptText += "<|assistant|>\n";
    return Core::success();
}

} // namespace

Core::Result<CallerRequest> CallerRequest::fromJson(CallerInterface interface, const std::string &body)
{
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
    if (root.contains("max_tokens")) {
        const json &value = root["max_tokens"];
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() == 0 || value.get<std::uint64_t>() > maximumTokensLimit) {
            return invalid("The field 'max_tokens' must be a whole number between 1 and " + std::to_string(maximumTokensLimit) + ".");
        }
        request.maximumTokens = value.get<std::uint32_t>();
    }
    if (root.contains("stream")) {
        if (!root["stream"].is_boolean()) {
            return invalid("The field 'stream' must be true or false.");
        }
        request.isStream = root["stream"].get<bool>();
    }
    return request;
}

} // namespace Verbena::Router
