#include "endlesscaller.h"

namespace Verbena::Soak {

namespace {

constexpr std::chrono::milliseconds longestRequest{4000};
constexpr std::chrono::milliseconds pauseAfterEnd{300};

} // namespace

EndlessCaller::EndlessCaller(EventLoop::Loop &loop, std::vector<Http::Endpoint> routers, Decisions::RandomSource &random)
    : m_loop(loop)
    , m_routers(std::move(routers))
    , m_random(random)
    , m_timer(loop, [this] { goOn(); })
{
    m_timer.startAt(m_loop.now());
}

// What a router answers to a request without end is not judged.
void EndlessCaller::receiveBytes(std::string_view)
{
}

void EndlessCaller::receiveEnd(Http::ChannelEnd)
{
    m_timer.startAt(m_loop.now() + pauseAfterEnd);
}

void EndlessCaller::goOn()
{
    m_source.reset();
    m_channel.reset();
    m_timer.startAt(m_loop.now() + longestRequest);
    auto channel = Http::TcpChannel::connect(m_loop, m_routers[m_random.next() % m_routers.size()], *this);
    if (!channel) {
        m_timer.startAt(m_loop.now() + pauseAfterEnd);
        return;
    }
    m_channel = std::move(channel.value());
    const std::string fields = "Host: x.example\r\nVerbenaladder-Attempt-Id: endless\r\nVerbenaladder-Deadline-Ms: 6000\r\nAuthorization: Token secret\r\n";
    m_source = std::make_unique<EndlessSource>(m_loop, *m_channel, drawEndlessRequest(m_random, fields), m_random);
}

} // namespace Verbena::Soak
