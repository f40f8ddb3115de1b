#pragma once

#include "answerwriter.h"
#include "callerrequest.h"

#include <http/httpexchange.h>

#include <string>
#include <string_view>
#include <vector>

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

    /// \brief Appends one server-sent event with a part of the answer to \a output.
    void appendChunk(std::string_view text, std::string &output) const;

    /// \brief The events that end a whole stream, [DONE] among them.
    std::string streamEnd(const std::string &finishReason, const Usage &usage, bool isUsageWanted) const;

    /// \brief The body of an answer that is not streamed.
    std::string wholeBody(const std::string &text, const std::string &finishReason, const Usage &usage) const;

    /// \brief The event that ends a stream which cannot be made whole.
    static std::string errorEvent(const RequestFailure &failure);

    /// \brief The body of an error answer.
    static std::string errorBody(const RequestFailure &failure);

private:
    CallerInterface m_interface;
    std::string m_requestId;
    std::string m_model;
    std::string m_chunkHead;
    std::string m_chunkTail;
};

/// \brief The header fields that every answer carries.
std::vector<Http::HttpField> answerFields(const std::string &contentType, const std::string &requestId, Decisions::RunState run);

/// \brief Answers with \a failure as an error in the OpenAI form.
void respondFailure(Http::HttpExchange &exchange, const std::string &requestId, const RequestFailure &failure);

} // namespace Verbena::Router
