#pragma once

#include <cstddef>
#include <optional>

namespace Verbena::Http {

/// \brief Memory that the kernel takes for each byte of the size that a socket buffer is given.
inline constexpr int bufferMemoryFactor = 2;

/// \brief Most that the kernel holds of what has been sent to one peer, in bytes of its memory, unless less is set.
///
/// Enough for two and a half megabytes per second over a round trip of 100 ms. It counts as memory of this host, so that it must not grow as large as the
/// kernel would let it.
inline constexpr std::size_t sendBufferBytes = 256 * 1024;

/// \brief Room in the kernel for what the peer has sent and nobody has read, in bytes.
///
/// Enough for a round trip of a few milliseconds at ten megabytes per second. It counts as memory of this process, also while reading pauses, so that it must
/// not grow as large as the kernel would let it.
inline constexpr int receiveBufferBytes = 64 * 1024;

/// \brief The most memory that the kernel takes for a receive buffer of receiveBufferBytes.
inline constexpr std::size_t receiveMemoryBytes = std::size_t(bufferMemoryFactor) * receiveBufferBytes;

/// \brief As receiveBufferBytes for calls by libcurl, which also fetch objects from a store.
inline constexpr int callReceiveBufferBytes = 128 * 1024;

/// \brief Gives the socket \a descriptor a send buffer of sendBufferBytes and a receive buffer of \a receiveBytes; sockets that are accepted from a listening
/// one inherit them. If the kernel does not support it, it lets the buffers grow.
void boundSocketBuffers(int descriptor, int receiveBytes = receiveBufferBytes);

/// \brief What the kernel holds for the peer of one socket, and how much it may.
class SocketBuffers
{
public:
    /// \brief Takes the socket \a descriptor, which must outlive it, as one of boundSocketBuffers().
    explicit SocketBuffers(int descriptor);

    /// \brief Lets the kernel hold \a bytes of what is sent, sendBufferBytes at most. What it holds already stays.
    void setSendBound(std::size_t bytes);

    /// \brief Records that the kernel has accepted \a bytes to be sent.
    void recordSent(std::size_t bytes);

    /// \brief Brings sentBytes() up to date.
    void update();

    /// \brief Returns the memory that the kernel holds for what was sent. Before update(), bytes that the peer's host has taken since may count.
    std::size_t sentBytes() const;

    /// \brief Returns the number of sent bytes that the peer's host has not acknowledged yet.
    std::size_t unacknowledgedBytes() const;

    /// \brief Brings unreadBytes() up to date.
    void updateUnread();

    /// \brief Returns the memory that the kernel held, at the last updateUnread(), for what was received and nobody had read.
    std::size_t unreadBytes() const;

private:
    std::size_t askSystem() const;
    std::size_t askUnread() const;
    std::optional<std::size_t> memoryInfo(std::size_t index) const;

    int m_descriptor;
    std::size_t m_sendBound = sendBufferBytes;
    std::size_t m_sentBytes = 0;
    std::size_t m_sentSinceUpdate = 0; ///< Counted in m_sentBytes as they were sent.
    std::size_t m_unreadBytes = 0;
};

} // namespace Verbena::Http
