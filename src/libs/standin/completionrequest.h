#pragma once

#include "prefixcache.h"

#include <core/result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Standin {

/// \brief How an engine counts and cuts prompts.
struct PieceSize
{
    std::uint32_t tokens = 2048;
    std::uint32_t bytesPerToken = 4; ///< Of a prompt that comes as text.
};

/// \brief A completion that an engine is asked for.
///
/// The body of `POST /v1/completions`: `model`, `prompt` (text or token ids), `max_tokens` (default 16), `stream`, `priority` (lower goes first,
/// default 0), `cache_salt` (only requests with the same one share cached pieces), `verbena_resume_tokens` (number of tokens that the caller has
/// already; the answer goes on after them, max_tokens counts them too) and `verbena_resume_text` (their text, prefilled with the prompt).
struct CompletionRequest
{
    std::string model;
    std::string promptBytes; ///< What AnswerText takes: the text, or the token ids as JSON without spaces.
    std::uint32_t promptTokens = 0; ///< Without the resumed ones.
    std::uint32_t prefillTokens = 0;
    std::uint32_t maximumTokens = 16;
    std::uint32_t resumeTokens = 0;
    std::int64_t priority = 0;
    bool isStream = false;
    PieceHash root{}; ///< Hash of model, weights version and cache salt.
    std::vector<PieceHash> pieces; ///< Of the prompt and the resumed text; whole pieces only.

    /// \brief Reads \a body. Errors: InvalidArgument.
    static Core::Result<CompletionRequest> fromJson(const std::string &body, const PieceSize &pieceSize);

    /// \brief Sets root and pieces for the weights version in use.
    void computePieces(const std::string &weightsVersion);

private:
    std::string m_cacheSalt;
    std::string m_content;
    std::size_t m_pieceBytes = 0;
};

} // namespace Verbena::Standin
