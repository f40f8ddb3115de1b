#pragma once

#include "endlesssource.h"

#include <http/endpoint.h>

#include <memory>
#include <vector>

namespace Verbena::Soak {

/// \brief A caller whose requests have a part without end: one after the other, each to any router, until the router closes or a while has passed.
class EndlessCaller : private Http::ChannelObserver
{
public:
    EndlessCaller(EventLoop::Loop &loop, std::vector<Http::Endpoint> routers, Decisions::RandomSource &random);

private:
    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;
    void goOn();

    EventLoop::Loop &m_loop;
    std::vector<Http::Endpoint> m_routers;
    Decisions::RandomSource &m_random;
    std::unique_ptr<Http::TcpChannel> m_channel;
    std::unique_ptr<EndlessSource> m_source;
    EventLoop::Timer m_timer;
};

} // namespace Verbena::Soak
