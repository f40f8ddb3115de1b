#include "relayprotocol.h"

namespace Verbena::Relay {

namespace {

// Most heads are not longer; used to reserve memory.
constexpr std::size_t usualHeadBytes = 1024;

} // namespace

Http::OutgoingMessage callMessage(const RelayProtocol &protocol, const Http::MessageHead &head, Http::SharedBody body, const CallContext &context)
{
    Http::OutgoingMessage message;
    message.body = std::move(body);
    std::string &text = message.head;
    text.reserve(usualHeadBytes);
    text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    for (const Http::HttpField &field : protocol.callFields(head, context)) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (message.bodyBytes() > 0 || head.contentLength.has_value() || head.isChunked) {
        text.append("Content-Length: ").append(std::to_string(message.bodyBytes())).append("\r\n");
    }
    if (!context.isConnectionKept) {
        text.append("Connection: close\r\n");
    }
    text.append("\r\n");
    return message;
}

} // namespace Verbena::Relay
