#pragma once

#include <standin/answertext.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Load {

/// \brief The interface that a request is sent by.
enum class RequestKind {
    TextCompletion,
    TokenCompletion,
    ChatCompletion,
    ServiceCall, ///< Marked non-idempotent, with a key of its own.
};

/// \brief One request and the answer that belongs to it.
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
