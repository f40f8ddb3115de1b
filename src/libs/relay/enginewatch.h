#pragma once

#include "peerrows.h"
#include "relaytask.h"

#include <decisions/relay/rolloutplan.h>
#include <eventloop/timer.h>
#include <wire/datagramsocket.h>

#include <memory>

namespace Verbena::Relay {

/// \brief Listens to the agents beside the engines of a relay's fleet.
///
/// Agents tell only those who ask, and for a few seconds only, so that a router that is gone is soon forgotten. With each question an agent also hears which
/// weights were named and when it is its engine's turn, so that it need not ask the store.
class EngineWatch
{
public:
    /// \brief Listens at \a address; the agents are at the same port of their hosts. Errors: Unavailable.
    static Core::Result<std::unique_ptr<EngineWatch>> create(EventLoop::Loop &loop, const Http::Endpoint &address, RelayTask &relay, PeerRows &peers);

    EngineWatch(const EngineWatch &) = delete;
    EngineWatch &operator=(const EngineWatch &) = delete;

private:
    EngineWatch(EventLoop::Loop &loop, const Http::Endpoint &address, RelayTask &relay, PeerRows &peers);
    void ask();
    verbena::wire::Envelope question(const std::string &id, const Decisions::RegisteredServer &server) const;
    void take(const verbena::wire::Envelope &message);

    EventLoop::Loop &m_loop;
    Http::Endpoint m_address;
    RelayTask &m_relay;
    PeerRows &m_peers;
    EventLoop::Timer m_timer;
    Decisions::RolloutPlan m_turns;
    std::unique_ptr<Wire::DatagramSocket> m_socket;
};

} // namespace Verbena::Relay
