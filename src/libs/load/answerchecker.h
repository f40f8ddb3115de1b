#pragma once

#include "loadrequest.h"

#include <core/result.h>
#include <http/sseparser.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Verbena::Load {

/// \brief What became of a request, as its caller sees it.
enum class Outcome {
    Whole, ///< The answer that belongs to it, all of it, in order, once.
    Broken, ///< Some of its own answer is missing, out of order or garbled.
    Crossed, ///< Some of another request's answer came.
    Doubled, ///< Some of its answer came twice.
    Lost, ///< The connection ended without an answer or a word about it.
    NotRun, ///< Refused with the word that it was not run.
    Unknown, ///< Ended with the word that it may have run.
    Failed, ///< Ended with an error that says it was run, or says nothing of that.
    Unreachable, ///< No connection could be made.
};

/// \brief Tokens as the backend server counted them.
struct TokenUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
};

/// \brief Compares one answer with the one that belongs to its request, while it comes.
class AnswerChecker
{
public:
    explicit AnswerChecker(const LoadRequest &request);

    void receiveField(std::string_view name, std::string_view value);

    /// \brief Takes a part of the body; returns how many tokens it brought.
    std::uint32_t receiveData(int status, std::string_view data);

    /// \brief Takes the end of the exchange and judges it. Call once.
    Outcome finish(const Core::Result<int> &status);

    const TokenUsage &usage() const;

    /// \brief What the caller was told when the answer did not come whole, shortened.
    std::string explanation() const;

    /// \brief The router's id of the request; empty if it gave none.
    const std::string &requestId() const;

private:
    void takeEvent(std::string_view data);
    void takeText(std::string_view text);
    void takeToken(std::string_view token);
    void takeWholeBody();
    void fail(Outcome outcome);
    Outcome outcomeOfError() const;

    RequestKind m_kind;
    bool m_isStream;
    Standin::AnswerText m_answer;
    std::uint32_t m_answerTokens;
    Http::SseParser m_parser;
    std::string m_body;
    std::string m_pendingToken;
    std::uint32_t m_goodTokens = 0;
    std::uint32_t m_receivedTokens = 0;
    bool m_isDone = false;
    bool m_hasErrorEvent = false;
    std::string m_problem;
    Outcome m_textOutcome = Outcome::Whole;
    std::string m_run;
    std::string m_requestId;
    TokenUsage m_usage;
};

} // namespace Verbena::Load
