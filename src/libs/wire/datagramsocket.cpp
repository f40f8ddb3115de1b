#include "datagramsocket.h"

#include <eventloop/iowatcher.h>
#include <eventloop/loop.h>

#include <array>
#include <cerrno>
#include <cstring>

#include <sys/socket.h>
#include <unistd.h>

namespace Verbena::Wire {

namespace {

// Larger than any envelope that is sent by UDP; larger datagrams would be fragmented.
constexpr std::size_t maximumDatagramBytes = 4096;

// Limits the datagrams received at once, so that a flood does not block the rest of the loop.
constexpr int maximumDatagramsPerWakeUp = 64;

} // namespace

Core::Result<std::unique_ptr<DatagramSocket>> DatagramSocket::bind(EventLoop::Loop &loop, const sockaddr_in &address, Receiver receiver)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return Core::Error{Core::ErrorCode::Unavailable, "wire.socket", "", std::strerror(errno)};
    }
    std::unique_ptr<DatagramSocket> bound(new DatagramSocket(loop, descriptor, std::move(receiver)));
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return Core::Error{Core::ErrorCode::Unavailable, "wire.bind", "udp port " + std::to_string(ntohs(address.sin_port)), std::strerror(errno)};
    }
    bound->m_watcher->start(EV_READ);
    return bound;
}

DatagramSocket::DatagramSocket(EventLoop::Loop &loop, int descriptor, Receiver receiver)
    : m_loop(loop)
    , m_descriptor(descriptor)
    , m_receiver(std::move(receiver))
    , m_watcher(std::make_unique<EventLoop::IoWatcher>(loop, descriptor, [this](int) { receiveAll(); }))
{
}

DatagramSocket::~DatagramSocket()
{
    m_watcher.reset();
    close(m_descriptor);
}

bool DatagramSocket::send(const sockaddr_in &to, const verbena::wire::Envelope &message)
{
    const std::string bytes = message.SerializeAsString();
    return sendto(m_descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof to) == static_cast<ssize_t>(bytes.size());
}

void DatagramSocket::receiveAll()
{
    std::array<char, maximumDatagramBytes> buffer{};
    for (int received = 0; received < maximumDatagramsPerWakeUp; ++received) {
        sockaddr_in from{};
        socklen_t fromSize = sizeof from;
        const ssize_t size = recvfrom(m_descriptor, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&from), &fromSize);
        if (size < 0) {
            return;
        }
        verbena::wire::Envelope message;
        if (message.ParseFromArray(buffer.data(), static_cast<int>(size))) {
            m_receiver(from, message);
        }
    }
    m_loop.recordUnreadInput();
}

} // namespace Verbena::Wire
