#include "ssesplitter.h"

#include <algorithm>
#include <charconv>

namespace Verbena::Http {

namespace {

constexpr std::string_view lineEnds = "\r\n";
constexpr std::string_view idField = "id:";

// Room that is kept for the next event; few events are longer.
constexpr std::size_t keptBytes = 4 * 1024;

void release(std::string &text)
{
    text.clear();
    if (text.capacity() > keptBytes) {
        text.shrink_to_fit();
    }
}

std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        const std::string_view line = event.substr(0, event.find_first_of(lineEnds));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (line.substr(0, idField.size()) != idField) {
            continue;
        }
        const std::size_t begin = line.find_first_not_of(' ', idField.size());
        std::uint64_t id = 0;
        if (begin != std::string_view::npos && std::from_chars(line.data() + begin, line.data() + line.size(), id).ec == std::errc()) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

std::string SseSplitter::feed(std::string_view bytes)
{
    std::string events;
    while (const std::optional<std::size_t> end = m_scanner.findEventEnd(bytes)) {
        m_pending.append(bytes.substr(0, *end));
        bytes.remove_prefix(*end);
        if (isNew(m_pending)) {
            events.append(m_pending);
            m_returnedBytes += m_pending.size();
        } else {
            m_skippedBytes += m_pending.size();
        }
        release(m_pending);
    }
    m_pending.append(bytes);
    return events;
}

bool SseSplitter::isNew(std::string_view event)
{
    const std::optional<std::uint64_t> id = idOf(event);
    if (!id.has_value()) {
        return true;
    }
    if (m_lastId.has_value() && *id <= *m_lastId) {
        return false;
    }
    m_lastId = id;
    return true;
}

std::string SseSplitter::takePending()
{
    std::string pending;
    pending.swap(m_pending);
    return pending;
}

void SseSplitter::discardPending()
{
    release(m_pending);
    m_skippedBytes = 0;
    m_scanner.reset();
}

bool SseSplitter::isInsideEvent() const
{
    return m_scanner.isInsideEvent();
}

std::size_t SseSplitter::pendingBytes() const
{
    return m_scanner.pendingBytes();
}

std::size_t SseSplitter::heldBytes() const
{
    return m_pending.capacity();
}

bool SseSplitter::hasEvent() const
{
    return m_scanner.hasEvent();
}

std::uint64_t SseSplitter::returnedBytes() const
{
    return m_returnedBytes;
}

std::uint64_t SseSplitter::skippedBytes() const
{
    return m_skippedBytes;
}

std::optional<std::uint64_t> SseSplitter::lastId() const
{
    return m_lastId;
}

} // namespace Verbena::Http
