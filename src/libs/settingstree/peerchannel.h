#pragma once

#include <core/result.h>

#include <verbena.pb.h>

#include <string>
#include <vector>

namespace Verbena::SettingsTree {

/// \brief Interface for messages between the settings of processes, over the connections that they have for their traffic.
class PeerChannel
{
public:
    virtual ~PeerChannel() = default;

    /// \brief Returns the ids of all peers that can be reached now.
    virtual const std::vector<std::string> &peers() const = 0;

    /// \brief Sends a message to one peer. Errors: Unavailable, if it cannot be reached.
    virtual Core::Result<void> sendToPeer(const std::string &peer, const verbena::wire::Envelope &message) = 0;
};

} // namespace Verbena::SettingsTree
