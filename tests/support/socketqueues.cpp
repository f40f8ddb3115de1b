#include "socketqueues.h"

#include <fstream>
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

} // namespace

std::uint64_t unacknowledgedBytesFrom(const in_addr &local)
{
    std::ifstream connections("/proc/net/tcp");
    std::string text;
    std::getline(connections, text);
    std::uint64_t sum = 0;
    while (std::getline(connections, text)) {
        std::istringstream fields(text);
        ConnectionLine line;
        if (!(fields >> line) || line.state == listening || std::stoul(line.local, nullptr, hexadecimal) != local.s_addr) {
            continue;
        }
        sum += std::stoul(line.queues, nullptr, hexadecimal);
    }
    return sum;
}

} // namespace Verbena::Test
