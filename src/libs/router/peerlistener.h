#pragma once

#include <decisions/routing/backendserver.h>

#include <verbena.pb.h>

#include <string>

namespace Verbena::Router {

/// \brief Uses the router's connections to agents for messages that belong to no request, such as settings gossip.
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    /// \brief Handles that messages can now be sent to the agent of \a id.
    virtual void peerReady(Decisions::BackendServerId id) = 0;
    /// \brief Handles the loss of the agent of \a id.
    virtual void peerLost(Decisions::BackendServerId id) = 0;
    /// \brief Handles a \a message from the agent of \a id; messages on requests are passed too, except for frames.
    virtual void receiveFromPeer(Decisions::BackendServerId id, const verbena::wire::Envelope &message) = 0;

    /// \brief Returns the JSON that /status shows under "settings".
    virtual std::string settingsJson() const = 0;
};

} // namespace Verbena::Router
