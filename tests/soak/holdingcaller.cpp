#include "holdingcaller.h"

namespace Verbena::Soak {

namespace {

constexpr std::chrono::milliseconds pauseAfterEnd{100};

// No process runs so long after it was asked to end.
constexpr std::chrono::seconds keepTime{10};

} // namespace

HoldingCaller::HoldingCaller(EventLoop::Loop &loop, const Http::Endpoint &router, std::string id, bool isClosing)
    : m_loop(loop)
    , m_router(router)
    , m_id(std::move(id))
    , m_isClosing(isClosing)
    , m_timer(loop, [this] { ask(); })
{
    m_timer.startAt(m_loop.now());
}

// Its answers are like those of other callers, who judge them.
void HoldingCaller::receiveBytes(std::string_view)
{
}

void HoldingCaller::receiveEnd(Http::ChannelEnd end)
{
    if (end == Http::ChannelEnd::Closed && !m_isClosing) {
        m_kept.push_back({m_loop.now() + keepTime, std::move(m_channel)});
    }
    m_timer.startAt(m_loop.now() + pauseAfterEnd);
}

void HoldingCaller::dropOld()
{
    std::erase_if(m_kept, [now = m_loop.now()](const Kept &kept) { return kept.until <= now; });
}

void HoldingCaller::ask()
{
    dropOld();
    m_channel.reset();
    auto channel = Http::TcpChannel::connect(m_loop, m_router, *this);
    if (!channel) {
        m_timer.startAt(m_loop.now() + pauseAfterEnd);
        return;
    }
    m_channel = std::move(channel.value());
    m_channel->write("POST /safe/x HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: " + m_id + '.' + std::to_string(++m_count)
        + "\r\nVerbenaladder-Deadline-Ms: 3000\r\nAuthorization: Token secret\r\nContent-Length: 2\r\n\r\nhi");
}

} // namespace Verbena::Soak
