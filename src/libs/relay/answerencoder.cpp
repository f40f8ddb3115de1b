#include "answerencoder.h"

#include <array>
#include <charconv>

namespace Verbena::Relay {

namespace {

// Room for the size of a chunk and its line ends.
constexpr std::size_t chunkFrameBytes = 20;

constexpr std::size_t longestChunkSize = 16;

} // namespace

void AnswerEncoder::beginAnswer(const Http::MessageHead &head)
{
    m_isVersion11 = head.isVersion11;
    m_isHead = head.method == "HEAD";
    m_isChunked = false;
    m_isHeadBegun = false;
    m_isProbeOpen = false;
}

bool AnswerEncoder::endsByClose(std::optional<std::uint64_t> length) const
{
    return !length.has_value() && !m_isVersion11;
}

std::string AnswerEncoder::whole(AnswerHead head, std::string_view body)
{
    head.setBodyLength(body.size());
    m_isHeadBegun = true;
    std::string text = head.text();
    if (!m_isHead) {
        text.append(body);
    }
    return text;
}

std::string AnswerEncoder::head(AnswerHead head, std::optional<std::uint64_t> length)
{
    m_isChunked = !length.has_value() && m_isVersion11;
    m_isHeadBegun = true;
    if (length.has_value()) {
        head.setBodyLength(*length);
    } else if (m_isChunked) {
        head.setChunked();
    }
    return head.text();
}

std::string AnswerEncoder::chunk(std::string_view data)
{
    m_isProbeOpen = false;
    std::array<char, longestChunkSize> size{};
    const auto sizeEnd = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16).ptr;
    std::string text;
    text.reserve(data.size() + chunkFrameBytes);
    text.append(size.data(), sizeEnd).append("\r\n").append(data).append("\r\n");
    return text;
}

std::string AnswerEncoder::end()
{
    const bool hasLastChunk = m_isChunked && !m_isHead;
    m_isChunked = false;
    m_isProbeOpen = false;
    return hasLastChunk ? "0\r\n\r\n" : "";
}

bool AnswerEncoder::isHeadBegun() const
{
    return m_isHeadBegun;
}

bool AnswerEncoder::hasBody() const
{
    return !m_isHead;
}

bool AnswerEncoder::isChunked() const
{
    return m_isChunked;
}

bool AnswerEncoder::canProbe() const
{
    return m_isVersion11 && (!m_isHeadBegun || (m_isChunked && !m_isHead));
}

std::string_view AnswerEncoder::takeProbe()
{
    m_isProbeOpen = m_isHeadBegun;
    return m_isHeadBegun ? "0" : interimAnswer;
}

bool AnswerEncoder::isProbeOpen() const
{
    return m_isProbeOpen;
}

} // namespace Verbena::Relay
