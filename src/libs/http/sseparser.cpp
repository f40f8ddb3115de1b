#include "sseparser.h"

namespace Verbena::Http {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataField = "data:";

std::string dataOf(std::string_view event)
{
    std::string data;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.starts_with(dataField)) {
            continue;
        }
        line.remove_prefix(dataField.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (!data.empty()) {
            data += '\n';
        }
        data += line;
    }
    return data;
}

} // namespace

std::vector<std::string> SseParser::feed(std::string_view bytes)
{
    // Carriage returns are legal line ends of server-sent events; dropping them leaves one kind.
    for (const char byte : bytes) {
        if (byte != '\r') {
            m_pending += byte;
        }
    }
    std::vector<std::string> events;
    std::size_t begin = 0;
    std::size_t end = m_pending.find(eventEnd);
    while (end != std::string::npos) {
        std::string data = dataOf(std::string_view(m_pending).substr(begin, end - begin));
        if (!data.empty()) {
            events.push_back(std::move(data));
        }
        begin = end + eventEnd.size();
        end = m_pending.find(eventEnd, begin);
    }
    m_pending.erase(0, begin);
    return events;
}

std::size_t SseParser::pendingBytes() const
{
    return m_pending.size();
}

} // namespace Verbena::Http
