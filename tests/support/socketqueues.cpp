#include "socketqueues.h"

#include <fstream>
#include <functional>
#include <sstream>
#include <string>

namespace Verbena::Test {

namespace {

constexpr int hexadecimal = 16;

// Fields of a line of /proc/net/tcp before the state of a connection: its number and its two ends.
struct ConnectionLine
{
    std::string number;
    std::string local; ///< The address as the processor reads its four bytes, a colon and the port, in hexadecimal.
    std::string remote;
    std::string state;
    std::string queues; ///< Bytes to be sent, a colon and bytes to be read, in hexadecimal.
};

std::istream &operator>>(std::istream &input, ConnectionLine &line)
{
    return input >> line.number >> line.local >> line.remote >> line.state >> line.queues;
}

constexpr const char *listening = "0A"; // Its queues count connections.

// Calls \a visit with each connection of the system.
void visitConnections(const std::function<void(const ConnectionLine &line)> &visit)
{
    std::ifstream connections("/proc/net/tcp");
    std::string text;
    std::getline(connections, text);
    while (std::getline(connections, text)) {
        std::istringstream fields(text);
        ConnectionLine line;
        if (fields >> line && line.state != listening) {
            visit(line);
        }
    }
}

bool isAt(const std::string &end, const in_addr &address)
{
    return std::stoul(end, nullptr, hexadecimal) == address.s_addr;
}

} // namespace

std::uint64_t unacknowledgedBytesFrom(const in_addr &local)
{
    std::uint64_t sum = 0;
    visitConnections([&](const ConnectionLine &line) { sum += isAt(line.local, local) ? std::stoul(line.queues, nullptr, hexadecimal) : 0; });
    return sum;
}

std::uint64_t unreadBytesFrom(const in_addr &remote)
{
    std::uint64_t sum = 0;
    visitConnections([&](const ConnectionLine &line) {
        const std::string unread = line.queues.substr(line.queues.find(':') + 1);
        sum += isAt(line.remote, remote) ? std::stoul(unread, nullptr, hexadecimal) : 0;
    });
    return sum;
}

} // namespace Verbena::Test
