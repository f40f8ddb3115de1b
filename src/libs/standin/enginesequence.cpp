#include "enginesequence.h"

#include <algorithm>

namespace Verbena::Standin {

namespace {

// Tokens consist of lower-case letters and spaces only, so no character has to be escaped for JSON.
std::string choice(const std::string &text, const char *finishReason)
{
    return R"("choices":[{"index":0,"text":")" + text + R"(","finish_reason":)" + finishReason + "}]";
}

} // namespace

EngineSequence::EngineSequence(CompletionRequest request, RunId run, std::shared_ptr<Http::HttpExchange> exchange, std::uint64_t incarnation)
    : m_request(std::move(request))
    , m_run(run)
    , m_exchange(std::move(exchange))
    , m_requestId(m_exchange->header("Verbena-Request").value_or(""))
    , m_answer(m_request.promptBytes)
    , m_fields{{"Content-Type", m_request.isStream ? "text/event-stream" : "application/json"}, {"Engine-Incarnation", std::to_string(incarnation)}}
{
}

const CompletionRequest &EngineSequence::request() const
{
    return m_request;
}

RunId EngineSequence::run() const
{
    return m_run;
}

const std::string &EngineSequence::requestId() const
{
    return m_requestId;
}

std::uint32_t EngineSequence::remainingPrefill() const
{
    return m_remainingPrefill;
}

std::uint32_t EngineSequence::generatedTokens() const
{
    return m_generatedTokens;
}

bool EngineSequence::isComplete() const
{
    return m_request.resumeTokens + m_generatedTokens >= m_request.maximumTokens;
}

void EngineSequence::beginPrefill(std::size_t cachedPieces, const PieceSize &pieceSize)
{
    const auto cached = static_cast<std::uint32_t>(cachedPieces * pieceSize.tokens);
    m_cachedTokens = std::min(cached, m_request.promptTokens);
    // The last token is always computed, even if it is cached, as engines need its output.
    m_remainingPrefill = std::max(1U, m_request.prefillTokens - std::min(cached, m_request.prefillTokens));
}

void EngineSequence::prefill(std::uint32_t tokens)
{
    m_remainingPrefill -= std::min(tokens, m_remainingPrefill);
}

void EngineSequence::generateToken()
{
    const std::string token = m_answer.token(m_request.resumeTokens + m_generatedTokens);
    ++m_generatedTokens;
    if (!m_request.isStream) {
        m_text += token;
        return;
    }
    m_exchange->beginStream(200, m_fields);
    m_exchange->write("data: {" + choice(token, "null") + "}\n\n");
}

void EngineSequence::finish()
{
    if (!m_request.isStream) {
        m_exchange->respond(200, m_fields, "{" + choice(m_text, R"("length")") + "," + usage() + "}");
        return;
    }
    m_exchange->beginStream(200, m_fields);
    m_exchange->write("data: {" + choice("", R"("length")") + "," + usage() + "}\n\n");
    m_exchange->write("data: [DONE]\n\n");
    m_exchange->endStream();
}

void EngineSequence::abort()
{
    m_exchange->abortStream();
}

std::string EngineSequence::usage() const
{
    return R"("usage":{"prompt_tokens":)" + std::to_string(m_request.promptTokens) + R"(,"completion_tokens":)" + std::to_string(m_generatedTokens)
        + R"(,"total_tokens":)" + std::to_string(m_request.promptTokens + m_generatedTokens) + R"(,"prompt_tokens_details":{"cached_tokens":)"
        + std::to_string(m_cachedTokens) + "}}";
}

} // namespace Verbena::Standin
