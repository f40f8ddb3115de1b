#pragma once

#include "callerrequest.h"

#include <core/error.h>

#include <string>
#include <string_view>

namespace Verbena::Router {

/// \brief Token counts that an answer reports.
struct Usage
{
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t completionTokens = 0;
};

/// \brief Writes answers in the form of the OpenAI interface.
class AnswerFormat
{
public:
    AnswerFormat(CallerInterface interface, std::string requestId, std::string model);

    /// \brief One server-sent event with a part of the answer.
    std::string chunk(std::string_view text) const;

    /// \brief The events that end a whole stream, [DONE] among them.
    std::string streamEnd(const std::string &finishReason, const Usage &usage) const;

    /// \brief The body of an answer that is not streamed.
    std::string wholeBody(const std::string &text, const std::string &finishReason, const Usage &usage) const;

    /// \brief The body of an error answer.
    static std::string errorBody(const std::string &type, const std::string &code, const std::string &message);

private:
    CallerInterface m_interface;
    std::string m_requestId;
    std::string m_model;
    std::string m_chunkHead;
};

} // namespace Verbena::Router
