#pragma once

#include <core/result.h>

#include <verbena.pb.h>

#include <string>
#include <vector>

namespace Verbena::SettingsTree {

/// \brief How the settings of one process reach those of others: the connections that it has for its traffic anyway.
class PeerChannel
{
public:
    virtual ~PeerChannel() = default;

    /// \brief Ids of all peers that can be reached now.
    virtual const std::vector<std::string> &peers() const = 0;

    /// \brief Sends to one peer. Errors: Unavailable, if it cannot be reached.
    virtual Core::Result<void> sendToPeer(const std::string &peer, const verbena::wire::Envelope &message) = 0;
};

} // namespace Verbena::SettingsTree
