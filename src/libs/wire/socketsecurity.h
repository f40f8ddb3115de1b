#pragma once

#include <string>

namespace Verbena::Wire {

/// \brief CURVE keys of one socket, each in ZeroMQ's 40-character Z85 form. Empty keys mean no encryption.
struct SocketSecurity
{
    std::string ownPublicKey;
    std::string ownSecretKey;
    std::string serverPublicKey; ///< For a socket that connects: the key the peer must have.

    bool isEnabled() const
    {
        return !ownSecretKey.empty();
    }
};

} // namespace Verbena::Wire
