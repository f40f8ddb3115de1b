#pragma once

#include <standin/answertext.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Load {

/// \brief API that a request uses.
enum class RequestKind {
    TextCompletion,
    TokenCompletion,
    ChatCompletion,
    ServiceCall, ///< Call of a plain service, marked non-idempotent, with its own idempotency key.
};

/// \brief Request and its expected answer.
struct LoadRequest
{
    RequestKind kind = RequestKind::TextCompletion;
    std::size_t organisation = 0; ///< Index in Workload::organisations().
    bool isStream = true;
    std::string path;
    std::vector<std::string> fields;
    std::string body;
    Standin::AnswerText answer{""};
    std::uint32_t answerTokens = 0;
};

} // namespace Verbena::Load
