#pragma once

#include <string>

namespace Verbena::Wire {

/// \brief The CURVE keys of a socket, each in the 40-character Z85 encoding of ZeroMQ. Empty keys mean no encryption.
struct SocketSecurity
{
    std::string ownPublicKey;
    std::string ownSecretKey;
    std::string serverPublicKey; ///< Key that the peer must have; for connecting sockets only.

    bool isEnabled() const
    {
        return !ownSecretKey.empty();
    }
};

} // namespace Verbena::Wire
