#pragma once

#include "relaytask.h"

#include <core/result.h>
#include <decisions/spread/randomsource.h>
#include <eventloop/timer.h>
#include <wire/datagramsocket.h>

#include <memory>

namespace Verbena::Relay {

/// \brief Tells other routers by datagram which limits backend servers named in answers to this router, so that they need not learn it at the servers' cost.
class LimitGossip
{
public:
    /// \brief Binds to \a address; the other routers use the same port on their hosts. \a relay has to live as long as this object. Errors: Unavailable.
    static Core::Result<std::unique_ptr<LimitGossip>> create(EventLoop::Loop &loop, const Http::Endpoint &address, RelayTask &relay, std::uint64_t seed);

    ~LimitGossip();

    LimitGossip(const LimitGossip &) = delete;
    LimitGossip &operator=(const LimitGossip &) = delete;

private:
    LimitGossip(EventLoop::Loop &loop, const Http::Endpoint &address, RelayTask &relay, std::uint64_t seed);
    void tell();
    void send(const verbena::wire::Envelope &message);
    void receive(const std::string &peer, const verbena::wire::ServerLimits &limits);

    EventLoop::Loop &m_loop;
    Http::Endpoint m_address;
    RelayTask &m_relay;
    Decisions::RandomSource m_random;
    std::unique_ptr<Wire::DatagramSocket> m_socket;
    EventLoop::Timer m_timer;
};

} // namespace Verbena::Relay
