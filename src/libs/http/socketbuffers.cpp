#include "socketbuffers.h"

#include "socketoption.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>

#include <linux/sock_diag.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace Verbena::Http {

namespace {

// The kernel makes smaller buffers this large.
constexpr std::size_t minimumSendBytes = 4 * 1024;

// The system is asked only after so much was sent. Most answers are shorter.
constexpr std::size_t unaskedBytes = 16 * 1024;

void setSendBuffer(int descriptor, std::size_t bytes)
{
    setSocketOption(descriptor, SOL_SOCKET, SO_SNDBUF, static_cast<int>(bytes / bufferMemoryFactor));
}

} // namespace

void boundSocketBuffers(int descriptor, int receiveBytes)
{
    setSendBuffer(descriptor, sendBufferBytes);
    setSocketOption(descriptor, SOL_SOCKET, SO_RCVBUF, receiveBytes);
}

SocketBuffers::SocketBuffers(int descriptor)
    : m_descriptor(descriptor)
{
}

// In steps of a factor of two, so that a bound which changes with each answer does not cost a call each time.
void SocketBuffers::setSendBound(std::size_t bytes)
{
    const std::size_t bound = std::bit_floor(std::clamp(bytes, minimumSendBytes, sendBufferBytes));
    if (bound != m_sendBound) {
        m_sendBound = bound;
        setSendBuffer(m_descriptor, bound);
    }
}

void SocketBuffers::recordSent(std::size_t bytes)
{
    m_sentBytes += bytes;
    m_sentSinceUpdate += bytes;
    if (m_sentSinceUpdate > unaskedBytes) {
        update();
    }
}

// Where nothing was held, nothing is held until something is sent.
void SocketBuffers::update()
{
    if (m_sentBytes == 0) {
        return;
    }
    m_sentBytes = askSystem();
    m_sentSinceUpdate = 0;
}

std::size_t SocketBuffers::sentBytes() const
{
    return m_sentBytes;
}

// Small parts take many times their size. Where the system does not tell the memory, their sum is what is known.
std::size_t SocketBuffers::askSystem() const
{
    const std::optional<std::size_t> bytes = memoryInfo(SK_MEMINFO_WMEM_QUEUED);
    return bytes.has_value() ? *bytes : unacknowledgedBytes();
}

// Returns the value \a index of what the system tells of the socket's memory, if it tells that.
std::optional<std::size_t> SocketBuffers::memoryInfo(std::size_t index) const
{
    std::array<std::uint32_t, SK_MEMINFO_VARS> memory{};
    socklen_t size = sizeof memory;
    const bool isKnown = getsockopt(m_descriptor, SOL_SOCKET, SO_MEMINFO, memory.data(), &size) == 0;
    return isKnown && size > index * sizeof(std::uint32_t) ? std::optional<std::size_t>(memory[index]) : std::nullopt;
}

void SocketBuffers::updateUnread()
{
    m_unreadBytes = askUnread();
}

std::size_t SocketBuffers::unreadBytes() const
{
    return m_unreadBytes;
}

std::size_t SocketBuffers::askUnread() const
{
    if (const std::optional<std::size_t> bytes = memoryInfo(SK_MEMINFO_RMEM_ALLOC)) {
        return *bytes;
    }
    int bytes = 0;
    return ioctl(m_descriptor, SIOCINQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

std::size_t SocketBuffers::unacknowledgedBytes() const
{
    int bytes = 0;
    return ioctl(m_descriptor, SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace Verbena::Http
