#include "sseeventscanner.h"

namespace Verbena::Http {

std::optional<std::size_t> SseEventScanner::findEventEnd(std::string_view bytes)
{
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        const char byte = bytes[index];
        const bool isSecondOfCrLf = byte == '\n' && m_isAfterCarriageReturn;
        m_isAfterCarriageReturn = byte == '\r';
        if (isSecondOfCrLf) {
            continue;
        }
        if (byte != '\n' && byte != '\r') {
            m_isInsideEvent = true;
            m_isAtLineStart = false;
            continue;
        }
        if (!m_isAtLineStart) {
            m_isAtLineStart = true;
            continue;
        }
        m_hasEvent = m_hasEvent || m_isInsideEvent;
        m_isInsideEvent = false;
        m_pendingBytes = 0;
        const bool isLineFeedNext = byte == '\r' && index + 1 < bytes.size() && bytes[index + 1] == '\n';
        m_isAfterCarriageReturn = m_isAfterCarriageReturn && !isLineFeedNext;
        return index + (isLineFeedNext ? 2 : 1);
    }
    m_pendingBytes += bytes.size();
    return std::nullopt;
}

void SseEventScanner::skip(std::string_view bytes)
{
    while (const std::optional<std::size_t> end = findEventEnd(bytes)) {
        bytes.remove_prefix(*end);
    }
}

bool SseEventScanner::isInsideEvent() const
{
    return m_isInsideEvent;
}

std::size_t SseEventScanner::pendingBytes() const
{
    return m_pendingBytes;
}

bool SseEventScanner::hasEvent() const
{
    return m_hasEvent;
}

void SseEventScanner::reset()
{
    *this = SseEventScanner();
}

} // namespace Verbena::Http
