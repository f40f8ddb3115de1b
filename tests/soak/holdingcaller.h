#pragma once

#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <http/endpoint.h>
#include <http/tcpchannel.h>

#include <memory>

namespace Verbena::Soak {

/// \brief A caller that asks once on a connection and then keeps it open, whatever the answer says, until the router closes it.
class HoldingCaller : private Http::ChannelObserver
{
public:
    HoldingCaller(EventLoop::Loop &loop, const Http::Endpoint &router, std::string id);

private:
    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;
    void ask();

    EventLoop::Loop &m_loop;
    Http::Endpoint m_router;
    std::string m_id;
    std::unique_ptr<Http::TcpChannel> m_channel;
    EventLoop::Timer m_timer;
    int m_count = 0;
};

} // namespace Verbena::Soak
