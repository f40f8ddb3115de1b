#pragma once

#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <http/endpoint.h>
#include <http/tcpchannel.h>

#include <memory>
#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief A caller that asks once on a connection and then keeps it open, whatever the answer says: until the router closes it, or its own side for longer than
/// the router's process may run on.
class HoldingCaller : private Http::ChannelObserver
{
public:
    HoldingCaller(EventLoop::Loop &loop, const Http::Endpoint &router, std::string id, bool isClosing);

private:
    struct Kept
    {
        Core::TimePoint until;
        std::unique_ptr<Http::TcpChannel> channel;
    };

    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;
    void ask();
    void dropOld();

    EventLoop::Loop &m_loop;
    Http::Endpoint m_router;
    std::string m_id;
    bool m_isClosing; ///< Whether it closes its side once the router has closed the other.
    std::unique_ptr<Http::TcpChannel> m_channel;
    std::vector<Kept> m_kept;
    EventLoop::Timer m_timer;
    int m_count = 0;
};

} // namespace Verbena::Soak
