#include "relayprotocol.h"

namespace Verbena::Relay {

namespace {

// Most heads are not longer; used to reserve memory.
constexpr std::size_t usualHeadBytes = 1024;

} // namespace

std::string callText(const RelayProtocol &protocol, const Http::MessageHead &head, const std::string &body, const CallContext &context)
{
    std::string text;
    text.reserve(usualHeadBytes + body.size());
    text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    for (const Http::HttpField &field : protocol.callFields(head, context)) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (!body.empty() || head.contentLength.has_value() || head.isChunked) {
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    }
    if (!context.isConnectionKept) {
        text.append("Connection: close\r\n");
    }
    text.append("\r\n").append(body);
    return text;
}

} // namespace Verbena::Relay
