#pragma once

#include <cstdint>

#include <netinet/in.h>

namespace Verbena::Test {

/// \brief Returns how many bytes that were sent from the address \a local the system holds, as their far sides have not acknowledged them.
std::uint64_t unacknowledgedBytesFrom(const in_addr &local);

/// \brief Returns how many bytes that were sent from the address \a remote the system holds, as their far sides have not read them.
std::uint64_t unreadBytesFrom(const in_addr &remote);

} // namespace Verbena::Test
