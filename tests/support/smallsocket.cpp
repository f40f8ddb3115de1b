#include "smallsocket.h"

#include <gtest/gtest.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Verbena::Test {

namespace {

// The system sizes the far side's send buffer by the segments and the window of this end. With loopback's segments of 64 KiB it holds 3.9 MB for a
// caller that does not read, with these 150 KB (`ss -tm`).
constexpr int smallBuffer = 4096;
constexpr int segmentBytes = 536;

constexpr int wideBuffer = 1 << 20;

} // namespace

int connectSmall(const sockaddr_in &address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    EXPECT_EQ(setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof smallBuffer), 0);
    EXPECT_EQ(setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes), 0);
    EXPECT_EQ(connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
    return descriptor;
}

void widen(int socket)
{
    EXPECT_EQ(setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &wideBuffer, sizeof wideBuffer), 0);
}

} // namespace Verbena::Test
