#pragma once

#include "answertext.h"
#include "completionrequest.h"
#include "runlist.h"

#include <http/httpexchange.h>

#include <memory>
#include <string>

namespace Verbena::Standin {

/// \brief One completion in the engine: how far it is, and the answer it writes.
class EngineSequence
{
public:
    EngineSequence(CompletionRequest request, RunId run, std::shared_ptr<Http::HttpExchange> exchange, std::uint64_t incarnation);

    const CompletionRequest &request() const;
    RunId run() const;
    const std::string &requestId() const;

    /// \brief Tokens still to be prefilled.
    std::uint32_t prefillLeft() const;

    /// \brief Tokens generated in this run.
    std::uint32_t generatedTokens() const;

    bool isWhole() const;

    /// \brief Begins the prefill, of which \a cachedPieces pieces can be left out.
    void beginPrefill(std::size_t cachedPieces, const PieceSize &pieceSize);

    void prefill(std::uint32_t tokens);

    /// \brief Generates the next token.
    void generate();

    /// \brief Ends the answer in good order.
    void finish();

    /// \brief Cuts the connection.
    void cut();

private:
    std::string usage() const;

    CompletionRequest m_request;
    RunId m_run;
    std::shared_ptr<Http::HttpExchange> m_exchange;
    std::string m_requestId;
    AnswerText m_answer;
    std::vector<Http::HttpField> m_fields;
    std::string m_text; ///< Of an answer that is not streamed.
    std::uint32_t m_cachedTokens = 0;
    std::uint32_t m_prefillLeft = 0;
    std::uint32_t m_generatedTokens = 0;
};

} // namespace Verbena::Standin
