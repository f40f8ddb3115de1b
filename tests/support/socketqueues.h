#pragma once

#include <cstdint>
#include <map>

#include <netinet/in.h>

namespace Verbena::Test {

/// \brief What the system holds for the connections of one address, in bytes.
struct SocketQueues
{
    std::uint64_t unacknowledgedBytes = 0; ///< Sent by the owner of the address; the far side has not acknowledged it.
    std::uint64_t unreadBytes = 0; ///< Received for the owner of the address, which has not read it.
};

/// \brief Returns what the system holds for the TCP connections of this machine, by the address of their near end.
std::map<in_addr_t, SocketQueues> queuesByAddress();

} // namespace Verbena::Test
