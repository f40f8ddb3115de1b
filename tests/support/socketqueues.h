#pragma once

#include <cstdint>

#include <netinet/in.h>

namespace Verbena::Test {

/// \brief Returns how many bytes that were sent from the address \a local the system holds, as their far sides have not acknowledged them.
std::uint64_t unacknowledgedBytesFrom(const in_addr &local);

} // namespace Verbena::Test
