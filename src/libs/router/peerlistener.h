#pragma once

#include <decisions/routing/backendserver.h>

#include <verbena.pb.h>

#include <string>

namespace Verbena::Router {

/// \brief Takes part in what processes tell each other beside requests, on the router's connections to agents.
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    virtual void peerReady(Decisions::BackendServerId id) = 0;
    virtual void peerLost(Decisions::BackendServerId id) = 0;
    virtual void receiveFromPeer(Decisions::BackendServerId id, const verbena::wire::Envelope &message) = 0;

    /// \brief What /status shows under "settings", as JSON.
    virtual std::string settingsJson() const = 0;
};

} // namespace Verbena::Router
