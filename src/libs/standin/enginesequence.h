#pragma once

#include "answertext.h"
#include "completionrequest.h"
#include "runlist.h"

#include <http/httpexchange.h>

#include <memory>
#include <string>

namespace Verbena::Standin {

/// \brief Progress of one completion in the engine. Writes the answer to the caller.
class EngineSequence
{
public:
    EngineSequence(CompletionRequest request, RunId run, std::shared_ptr<Http::HttpExchange> exchange, std::uint64_t incarnation);

    const CompletionRequest &request() const;
    RunId run() const;
    const std::string &requestId() const;

    /// \brief Returns the number of tokens that are still to be prefilled.
    std::uint32_t remainingPrefill() const;

    /// \brief Returns the number of tokens generated in this run.
    std::uint32_t generatedTokens() const;

    bool isComplete() const;

    /// \brief Starts the prefill and skips the first \a cachedPieces pieces.
    void beginPrefill(std::size_t cachedPieces, const PieceSize &pieceSize);

    void prefill(std::uint32_t tokens);

    /// \brief Generates the next token.
    void generateToken();

    /// \brief Completes the answer.
    void finish();

    /// \brief Aborts the connection without completing the answer.
    void abort();

private:
    std::string usage() const;

    CompletionRequest m_request;
    RunId m_run;
    std::shared_ptr<Http::HttpExchange> m_exchange;
    std::string m_requestId;
    AnswerText m_answer;
    std::vector<Http::HttpField> m_fields;
    std::string m_text; ///< Text generated so far, if the answer isn't streamed.
    std::uint32_t m_cachedTokens = 0;
    std::uint32_t m_remainingPrefill = 0;
    std::uint32_t m_generatedTokens = 0;
};

} // namespace Verbena::Standin
