#pragma once

#include <core/result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Router {

/// \brief Which of the callers' interfaces a request came by; the answer has the same form.
enum class CallerInterface {
    Completions,
    ChatCompletions,
};

/// \brief A completion that a caller asks for, checked.
struct CallerRequest
{
    CallerInterface interface = CallerInterface::Completions;
    std::string model; ///< As the caller wrote it: "model" or "model:adapter".
    std::string promptText; ///< Empty if the prompt came as token ids.
    std::vector<std::uint32_t> promptTokens;
    std::uint32_t maximumTokens = 256;
    bool isStream = false;
    bool isUsageWanted = false; ///< In a stream: an event with token counts before its end.
    std::string engineBody; ///< The JSON body for the engine: prompt, maximum, and what else the caller set.

    /// \brief Reads a JSON body. Errors: InvalidArgument with a sentence for the caller.
    static Core::Result<CallerRequest> fromJson(CallerInterface interface, const std::string &body);
};

} // namespace Verbena::Router
