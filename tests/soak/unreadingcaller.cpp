#include "unreadingcaller.h"

#include "soakworker.h"

namespace Verbena::Soak {

namespace {

// So long is an answer left unread: its request may not take longer.
constexpr std::chrono::milliseconds unreadTime{4000};

constexpr std::chrono::milliseconds pauseAfterFailure{300};

} // namespace

UnreadingCaller::UnreadingCaller(EventLoop::Loop &loop, const Http::Endpoint &router, std::string name)
    : m_loop(loop)
    , m_router(router)
    , m_name(std::move(name))
    , m_timer(loop, [this] { ask(); })
{
    m_timer.startAt(m_loop.now());
}

void UnreadingCaller::receiveBytes(std::string_view)
{
}

void UnreadingCaller::receiveEnd(Http::ChannelEnd)
{
    m_timer.startAt(m_loop.now() + pauseAfterFailure);
}

void UnreadingCaller::ask()
{
    m_channel.reset();
    auto channel = Http::TcpChannel::connect(m_loop, m_router, *this);
    if (!channel) {
        m_timer.startAt(m_loop.now() + pauseAfterFailure);
        return;
    }
    m_channel = std::move(channel.value());
    const std::string body = endlessBodyToken;
    m_channel->write("POST /safe/x HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: " + m_name + '-' + std::to_string(++m_count)
        + "\r\nVerbenaladder-Deadline-Ms: 4000\r\nAuthorization: Token secret\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    m_channel->setReading(false);
    m_timer.startAt(m_loop.now() + unreadTime);
}

} // namespace Verbena::Soak
