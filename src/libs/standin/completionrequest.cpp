#include "completionrequest.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace Verbena::Standin {

namespace {

using nlohmann::json;

PieceHash chain(PieceHash parent, std::string_view data)
{
    return PieceHash(XXH3_64bits_withSeed(data.data(), data.size(), static_cast<std::uint64_t>(parent)));
}

std::string bytesOf(const std::vector<std::uint32_t> &tokens)
{
    return {reinterpret_cast<const char *>(tokens.data()), tokens.size() * sizeof(std::uint32_t)};
}

std::uint32_t tokensOf(std::size_t bytes, const PieceSize &pieceSize)
{
    return static_cast<std::uint32_t>((bytes + pieceSize.bytesPerToken - 1) / pieceSize.bytesPerToken);
}

} // namespace

Core::Result<CompletionRequest> CompletionRequest::fromJson(const std::string &body, const PieceSize &pieceSize)
{
    const json root = json::parse(body, nullptr, false);
    if (!root.is_object() || !root.contains("prompt")) {
        return Core::Error{Core::ErrorCode::InvalidArgument, "standin.request", "", "This is not a completion request."};
    }
    CompletionRequest request;
    try {
        request.model = root.value("model", "");
        request.maximumTokens = root.value("max_tokens", request.maximumTokens);
        request.resumeTokens = root.value("verbena_resume_tokens", 0U);
        request.priority = root.value("priority", std::int64_t{0});
        request.isStream = root.value("stream", false);
        request.m_cacheSalt = root.value("cache_salt", "");
        const std::string resumeText = root.value("verbena_resume_text", "");
        if (root["prompt"].is_string()) {
            request.promptBytes = root["prompt"].get<std::string>();
            request.m_content = request.promptBytes + resumeText;
            request.promptTokens = tokensOf(request.promptBytes.size(), pieceSize);
            request.m_pieceBytes = std::size_t{pieceSize.tokens} * pieceSize.bytesPerToken;
        } else {
            const auto tokens = root["prompt"].get<std::vector<std::uint32_t>>();
            request.promptBytes = root["prompt"].dump();
            request.m_content = bytesOf(tokens);
            request.promptTokens = static_cast<std::uint32_t>(tokens.size());
            request.m_pieceBytes = pieceSize.tokens * sizeof(std::uint32_t);
        }
    } catch (const json::exception &exception) {
        return Core::Error{Core::ErrorCode::InvalidArgument, "standin.request", "", exception.what()};
    }
    request.prefillTokens = request.promptTokens + request.resumeTokens;
    return request;
}

void CompletionRequest::computePieces(const std::string &weightsVersion)
{
    root = chain(chain(chain(PieceHash{}, model), weightsVersion), m_cacheSalt);
    PieceHash hash = root;
    for (std::size_t begin = 0; begin + m_pieceBytes <= m_content.size(); begin += m_pieceBytes) {
        hash = chain(hash, std::string_view(m_content).substr(begin, m_pieceBytes));
        pieces.push_back(hash);
    }
}

} // namespace Verbena::Standin
