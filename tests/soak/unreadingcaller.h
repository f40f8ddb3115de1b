#pragma once

#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <http/endpoint.h>
#include <http/tcpchannel.h>

#include <memory>
#include <string>

namespace Verbena::Soak {

/// \brief A caller that asks for bodies without end and does not read them: one after the other, each for a while.
class UnreadingCaller : private Http::ChannelObserver
{
public:
    /// \brief Asks \a router; its requests have ids that begin with \a name.
    UnreadingCaller(EventLoop::Loop &loop, const Http::Endpoint &router, std::string name);

private:
    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;
    void ask();

    EventLoop::Loop &m_loop;
    Http::Endpoint m_router;
    std::string m_name;
    std::unique_ptr<Http::TcpChannel> m_channel;
    EventLoop::Timer m_timer;
    int m_count = 0;
};

} // namespace Verbena::Soak
