#pragma once

#include "answerwriter.h"
#include "callerrequest.h"

#include <http/httpexchange.h>

#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Router {

/// \brief The token counts reported with an answer.
struct Usage
{
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t completionTokens = 0;
};

/// \brief Formats answers as in the OpenAI API.
class AnswerFormat
{
public:
    AnswerFormat(CallerInterface interface, std::string requestId, std::string model);

    /// \brief Appends a server-sent event with \a text, the next part of the answer, to \a output.
    void appendChunk(std::string_view text, std::string &output) const;

    /// \brief Returns the events that end a complete stream, including [DONE].
    std::string streamEnd(const std::string &finishReason, const Usage &usage, bool isUsageWanted) const;

    /// \brief Returns the body of an answer that is not streamed.
    std::string wholeBody(const std::string &text, const std::string &finishReason, const Usage &usage) const;

    /// \brief Returns the event that ends a stream which cannot be completed.
    static std::string errorEvent(const RequestFailure &failure);

    /// \brief Returns the body of an error answer.
    static std::string errorBody(const RequestFailure &failure);

private:
    CallerInterface m_interface;
    std::string m_requestId;
    std::string m_model;
    std::string m_chunkHead;
    std::string m_chunkTail;
};

/// \brief Returns the header fields of every answer.
std::vector<Http::HttpField> answerFields(const std::string &contentType, const std::string &requestId, Decisions::RunState run);

/// \brief Answers with \a failure as an error in the format of the OpenAI API.
void respondFailure(Http::HttpExchange &exchange, const std::string &requestId, const RequestFailure &failure);

} // namespace Verbena::Router
