#include "outputqueue.h"

#include <core/freetext.h>

#include <algorithm>
#include <array>

#include <sys/socket.h>
#include <sys/uio.h>

namespace Verbena::Http {

namespace {

// Capacity that is kept after everything was sent: enough for events and heads, and little beside the other state of a connection.
constexpr std::size_t keptTextBytes = 2 * 1024;

// A body that is longer is sent from where it is kept; a shorter one is copied, so that it leaves together with its head in one call.
constexpr std::size_t longestCopiedBody = 16 * 1024;

} // namespace

void OutputQueue::append(std::string_view data)
{
    unshareBody();
    m_text.append(data);
}

void OutputQueue::append(const OutgoingMessage &message)
{
    unshareBody();
    m_text.append(message.head);
    if (message.bodyBytes() > longestCopiedBody) {
        m_body = message.body;
    } else if (message.body != nullptr) {
        m_text.append(*message.body);
    }
}

// Only one body can be sent from where it is kept, and only as the last of what is written.
void OutputQueue::unshareBody()
{
    if (m_body != nullptr) {
        m_text.append(*m_body, m_bodyOffset);
        m_body.reset();
        m_bodyOffset = 0;
    }
}

std::size_t OutputQueue::bodyBytes() const
{
    return m_body == nullptr ? 0 : m_body->size() - m_bodyOffset;
}

std::size_t OutputQueue::bytes() const
{
    return m_text.size() - m_textOffset + bodyBytes();
}

std::size_t OutputQueue::heldBytes() const
{
    return m_text.capacity();
}

ssize_t OutputQueue::sendTo(int descriptor)
{
    const ssize_t sent = offer(descriptor);
    if (sent > 0) {
        const std::size_t ofText = std::min(static_cast<std::size_t>(sent), m_text.size() - m_textOffset);
        m_textOffset += ofText;
        m_bodyOffset += static_cast<std::size_t>(sent) - ofText;
    }
    return sent;
}

ssize_t OutputQueue::offer(int descriptor) const
{
    if (m_body == nullptr) {
        return send(descriptor, m_text.data() + m_textOffset, m_text.size() - m_textOffset, MSG_NOSIGNAL);
    }
    if (m_textOffset == m_text.size()) {
        return send(descriptor, m_body->data() + m_bodyOffset, bodyBytes(), MSG_NOSIGNAL);
    }
    std::array<iovec, 2> parts{iovec{const_cast<char *>(m_text.data()) + m_textOffset, m_text.size() - m_textOffset},
        iovec{const_cast<char *>(m_body->data()) + m_bodyOffset, bodyBytes()}};
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    return sendmsg(descriptor, &message, MSG_NOSIGNAL);
}

// A peer that always leaves something unread must not make the queue keep all that it has read before. At most half of the text has been sent, so that each
// byte is moved once on average.
void OutputQueue::release()
{
    if (bodyBytes() == 0) {
        m_body.reset();
        m_bodyOffset = 0;
    }
    const std::size_t unsent = m_text.size() - m_textOffset;
    if (unsent == 0 && m_text.capacity() > keptTextBytes) {
        Core::freeText(m_text);
        m_textOffset = 0;
    } else if (m_textOffset >= unsent) {
        m_text.erase(0, m_textOffset);
        m_textOffset = 0;
    }
}

void OutputQueue::shrink()
{
    m_text.shrink_to_fit();
}

void OutputQueue::clear()
{
    Core::freeText(m_text);
    m_textOffset = 0;
    m_body.reset();
    m_bodyOffset = 0;
}

} // namespace Verbena::Http
