#pragma once

#include "prefixcache.h"

#include <core/result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Standin {

/// \brief Size of the pieces into which an engine splits a prompt.
struct PieceSize
{
    std::uint32_t tokens = 2048;
    std::uint32_t bytesPerToken = 4; ///< Bytes that count as one token if the prompt is text.
};

/// \brief Completion request to an engine.
///
/// The body of `POST /v1/completions`: `model`, `prompt` (text or token ids), `max_tokens` (default 16), `stream`, `priority` (lower goes first,
/// default 0), `cache_salt` (only requests with the same salt share cached pieces), `verbena_resume_tokens` (number of tokens that the caller has
/// already; the answer continues after them, and max_tokens includes them) and `verbena_resume_text` (the text of these tokens, prefilled with the prompt).
struct CompletionRequest
{
    std::string model;
    std::string promptBytes; ///< Input of AnswerText: the prompt text, or the token ids as JSON without spaces.
    std::uint32_t promptTokens = 0; ///< Number of prompt tokens, without the resumed tokens.
    std::uint32_t prefillTokens = 0;
    std::uint32_t maximumTokens = 16;
    std::uint32_t resumeTokens = 0;
    std::int64_t priority = 0;
    bool isStream = false;
    PieceHash root{}; ///< Hash of model, weights version and cache salt.
    std::vector<PieceHash> pieces; ///< Hashes of the complete pieces of the prompt and the resumed text.

    /// \brief Parses \a body. Errors: InvalidArgument.
    static Core::Result<CompletionRequest> fromJson(const std::string &body, const PieceSize &pieceSize);

    /// \brief Computes #root and #pieces for the weights version \a weightsVersion.
    void computePieces(const std::string &weightsVersion);

private:
    std::string m_cacheSalt;
    std::string m_content;
    std::size_t m_pieceBytes = 0;
};

} // namespace Verbena::Standin
