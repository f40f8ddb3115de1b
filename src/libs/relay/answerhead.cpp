#include "answerhead.h"

#include <http/idletimeout.h>

namespace Verbena::Relay {

namespace {

// Room for the heads of most answers.
constexpr std::size_t usualHeadBytes = 512;

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace

AnswerHead::AnswerHead(int status, const std::vector<Http::HttpField> &fields)
{
    m_text.reserve(usualHeadBytes);
    m_text.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reasonPhrase(status)).append("\r\n");
    for (const Http::HttpField &field : fields) {
        m_text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

void AnswerHead::setIdleTimeout(std::optional<std::chrono::seconds> timeout)
{
    if (timeout.has_value()) {
        m_text.append("Connection: keep-alive\r\nKeep-Alive: ").append(Http::keepAliveText(*timeout)).append("\r\n");
    } else {
        m_text.append("Connection: close\r\n");
    }
}

void AnswerHead::setBodyLength(std::uint64_t bytes)
{
    m_text.append("Content-Length: ").append(std::to_string(bytes)).append("\r\n");
}

void AnswerHead::setChunked()
{
    m_text.append("Transfer-Encoding: chunked\r\n");
}

std::string AnswerHead::text() const
{
    return m_text + "\r\n";
}

} // namespace Verbena::Relay
