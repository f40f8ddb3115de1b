#pragma once

#include "loadrequest.h"

#include <core/result.h>
#include <http/sseparser.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Verbena::Load {

/// \brief Outcome of a request from the point of view of its caller.
enum class Outcome {
    Complete, ///< The expected answer arrived completely, in order and once.
    Corrupted, ///< A part of the expected answer is missing, out of order or garbled.
    Misdelivered, ///< A part of another request's answer arrived.
    Duplicated, ///< A part of the expected answer arrived twice.
    Lost, ///< The connection ended without an answer or an error message.
    NotRun, ///< The error states that the request was not run.
    Unknown, ///< The error states that the request may have run.
    Failed, ///< The error states that the request was run, or doesn't state whether it was.
    Unreachable, ///< No connection could be established.
};

/// \brief Token counts as reported by the backend server.
struct TokenUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
};

/// \brief Compares the answer to a request with the expected answer while it arrives.
class AnswerChecker
{
public:
    explicit AnswerChecker(const LoadRequest &request);

    /// \brief Handles a header field of the answer.
    void receiveField(std::string_view name, std::string_view value);

    /// \brief Handles a part of the body and returns the number of tokens that it completed.
    std::uint32_t receiveData(int status, std::string_view data);

    /// \brief Handles the end of the exchange and returns the outcome. Must be called once only.
    Outcome finish(const Core::Result<int> &status);

    /// \brief Returns the token counts reported with the answer.
    const TokenUsage &usage() const;

    /// \brief Returns the error that the caller received if the answer is not complete, shortened to 300 bytes.
    std::string explanation() const;

    /// \brief Returns the request id assigned by the router; empty if there was none.
    const std::string &requestId() const;

private:
    void handleEvent(std::string_view data);
    void handleText(std::string_view text);
    void handleToken(std::string_view token);
    void handleBody();
    void fail(Outcome outcome);
    Outcome outcomeOfError() const;

    RequestKind m_kind;
    bool m_isStream;
    Standin::AnswerText m_answer;
    std::uint32_t m_answerTokens;
    Http::SseParser m_parser;
    std::string m_body;
    std::string m_pendingToken;
    std::uint32_t m_matchedTokens = 0;
    std::uint32_t m_receivedTokens = 0;
    bool m_isDone = false;
    bool m_hasErrorEvent = false;
    std::string m_errorText;
    Outcome m_textOutcome = Outcome::Complete;
    std::string m_run;
    std::string m_requestId;
    TokenUsage m_usage;
};

} // namespace Verbena::Load
