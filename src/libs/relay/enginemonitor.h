#pragma once

#include "peerrowsource.h"
#include "relaytask.h"

#include <decisions/relay/rolloutplan.h>
#include <eventloop/timer.h>
#include <wire/datagramsocket.h>

#include <memory>

namespace Verbena::Relay {

/// \brief Receives the status reports of the agents of all engines in a relay's fleet.
///
/// Agents send reports only to routers that request them, and only for a few seconds, so that lost routers are soon removed. Each request also contains the
/// announced weights and the engine's rollout slot, so that the agent need not read them from the store.
class EngineMonitor
{
public:
    /// \brief Creates a monitor that receives reports at \a address; the agents use the same port on their hosts. Errors: Unavailable.
    static Core::Result<std::unique_ptr<EngineMonitor>> create(EventLoop::Loop &loop, const Http::Endpoint &address, RelayTask &relay, PeerRowSource &peers);

    EngineMonitor(const EngineMonitor &) = delete;
    EngineMonitor &operator=(const EngineMonitor &) = delete;

private:
    EngineMonitor(EventLoop::Loop &loop, const Http::Endpoint &address, RelayTask &relay, PeerRowSource &peers);
    void sendRequests();
    verbena::wire::Envelope watchRequest(const std::string &id, const Decisions::RegisteredServer &server) const;
    void handleReport(const verbena::wire::Envelope &message);

    EventLoop::Loop &m_loop;
    Http::Endpoint m_address;
    RelayTask &m_relay;
    PeerRowSource &m_peers;
    EventLoop::Timer m_timer;
    Decisions::RolloutPlan m_rolloutPlan;
    std::unique_ptr<Wire::DatagramSocket> m_socket;
};

} // namespace Verbena::Relay
