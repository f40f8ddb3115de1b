#include "sseparser.h"

namespace Verbena::Http {

namespace {

constexpr std::string_view dataField = "data:";

} // namespace

void SseParser::feed(std::string_view bytes, const Visitor &visit)
{
    // Lines that arrive complete, which is the common case, are processed without a copy.
    std::size_t end = bytes.find('\n');
    while (end != std::string_view::npos) {
        if (m_pending.empty()) {
            processLine(bytes.substr(0, end), visit);
        } else {
            m_pending += bytes.substr(0, end);
            processLine(m_pending, visit);
            m_pending.clear();
        }
        bytes.remove_prefix(end + 1);
        end = bytes.find('\n');
    }
    m_pending += bytes;
}

void SseParser::processLine(std::string_view line, const Visitor &visit)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (m_hasData) {
            visit(m_data);
        }
        m_data.clear();
        m_hasData = false;
        return;
    }
    if (!line.starts_with(dataField)) {
        return;
    }
    line.remove_prefix(dataField.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (m_hasData) {
        m_data += '\n';
    }
    m_data += line;
    m_hasData = true;
}

std::size_t SseParser::pendingBytes() const
{
    return m_pending.size() + m_data.size();
}

} // namespace Verbena::Http
