#pragma once

#include <netinet/in.h>

namespace Verbena::Test {

/// \brief Connects a blocking socket to \a address for which the system holds little at either end while nobody reads from it: 150 KB or less.
int connectSmall(const sockaddr_in &address);

/// \brief Lets \a socket take much at once, so that the rest comes quickly.
void widen(int socket);

} // namespace Verbena::Test
