#pragma once

#include <core/result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Router {

/// \brief The API endpoint that a request was sent to; the answer has the matching format.
enum class CallerInterface {
    Completions,
    ChatCompletions,
};

/// \brief A validated completion request.
struct CallerRequest
{
    CallerInterface interface = CallerInterface::Completions;
    std::string model; ///< Name as sent by the caller: "model" or "model:adapter".
    std::string promptText; ///< Empty if the prompt was sent as token ids.
    std::vector<std::uint32_t> promptTokens;
    std::uint32_t maximumTokens = 256;
    bool isStream = false;
    bool isUsageWanted = false; ///< Whether a stream gets an event with token counts before its end.
    std::string engineBody; ///< JSON body for the engine: prompt, maximum number of tokens and the other fields set by the caller.

    /// \brief Parses the JSON \a body. Errors: InvalidArgument with a message for the caller.
    static Core::Result<CallerRequest> fromJson(CallerInterface interface, const std::string &body);
};

} // namespace Verbena::Router
