#pragma once

#include "bytemeter.h"
#include "endpoint.h"
#include "outgoingmessage.h"
#include "outputqueue.h"
#include "peerwindow.h"
#include "socketbuffers.h"

#include <core/result.h>
#include <eventloop/deferredcall.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include <sys/types.h>

namespace Verbena::EventLoop {
class IoWatcher;
class Loop;
} // namespace Verbena::EventLoop

namespace Verbena::Http {

/// \brief How a connection ended.
enum class ChannelEnd {
    Closed, ///< The peer closed its side regularly.
    Broken, ///< The connection was reset, timed out or could not be established.
};

/// \brief Interface that receives the data and the end of a connection. Its functions may destroy the channel unless noted otherwise.
class ChannelObserver
{
public:
    virtual ~ChannelObserver() = default;

    /// \brief Receives \a data, which is valid only during the call.
    virtual void receiveBytes(std::string_view data) = 0;

    /// \brief Receives the end of the incoming data. After Broken, no data can be sent either.
    virtual void receiveEnd(ChannelEnd end) = 0;

    /// \brief Returns whether what the peer sent before the connection broke is read to its end although nothing can be sent any more, also while reading
    /// pauses. Otherwise receiveEnd() follows at once.
    virtual bool isRestWanted() const
    {
        return false;
    }

    /// \brief Notifies that the kernel has accepted some of the written data, since the peer reads. Must not destroy the channel.
    virtual void outputSent()
    {
    }

    /// \brief Notifies that the kernel has accepted all written data. Must not destroy the channel.
    virtual void outputDrained()
    {
    }
};

/// \brief A TCP connection on an event loop.
///
/// Unlike the clients of the libraries in use, it reports what a relay needs to know: whether any byte of a request may have been sent, and whether the peer
/// has gone while nothing is read from it. A peer whose host acknowledges nothing counts as gone after some seconds; how long one may take to read is for the
/// owner of the channel to limit.
class TcpChannel
{
public:
    /// \brief Starts to connect to \a endpoint with a receive buffer of \a receiveBytes. Errors: NotFound, if the connection is refused at once;
    /// ResourceExhausted, if this host has no descriptor, port or memory for it; Unavailable, if another system call fails.
    static Core::Result<std::unique_ptr<TcpChannel>> connect(
        EventLoop::Loop &loop, const Endpoint &endpoint, ChannelObserver &observer, int receiveBytes = receiveBufferBytes);

    /// \brief Creates a channel that takes ownership of the accepted socket \a descriptor.
    static std::unique_ptr<TcpChannel> adopt(EventLoop::Loop &loop, int descriptor, ChannelObserver &observer);
    ~TcpChannel();

    TcpChannel(const TcpChannel &) = delete;
    TcpChannel &operator=(const TcpChannel &) = delete;

    /// \brief Returns the number of open channels of this thread.
    static std::size_t openCount();

    /// \brief Queues \a data to be sent together with everything else that is written in this iteration of the loop.
    void write(std::string_view data);

    /// \brief Queues \a message in the same way; a large body is not copied.
    void write(const OutgoingMessage &message);

    /// \brief Hands \a message to the kernel at once; hasSent() says whether any of it was accepted. A large body is not copied.
    void writeNow(const OutgoingMessage &message);

    /// \brief Makes \a observer, which must outlive its use of the channel, receive what comes from now on; hasSent() is false again. Resumes reading.
    void handOver(ChannelObserver &observer);

    /// \brief Returns whether the connection is open at both ends, all written data is sent and nothing waits to be read.
    bool isIdle();

    /// \brief Returns whether bytes of the peer wait to be read.
    bool hasUnreadBytes();

    /// \brief Returns the number of written bytes that the kernel has not accepted yet.
    std::size_t bufferedBytes() const;

    /// \brief Returns the memory that is held for written bytes, without a body that is shared.
    std::size_t heldBytes() const;

    /// \brief Sets the meter that is told from now on how much memory is held for written bytes; null for none.
    void setMeter(std::unique_ptr<ByteMeter> meter);

    /// \brief Sets the meter that is told from now on how much memory the kernel holds for sent bytes, about once a second while it does; null for none.
    void setKernelMeter(std::unique_ptr<ByteMeter> meter);

    /// \brief Returns the memory that the kernel holds for sent bytes, as last told to the meter.
    std::size_t kernelBytes() const;

    /// \brief Brings kernelBytes() up to date.
    void updateKernelBytes();

    /// \brief Sets the meter that updateUnreadBytes() tells unreadBytes(); null for none.
    void setUnreadMeter(std::unique_ptr<ByteMeter> meter);

    /// \brief Returns the memory that the kernel held, at the last updateUnreadBytes(), for what was received and not read.
    std::size_t unreadBytes() const;

    /// \brief Brings unreadBytes() up to date.
    void updateUnreadBytes();

    /// \brief Lets the kernel hold no more than \a bytes of what is sent from now on. What it holds already stays.
    void setSendBound(std::size_t bytes);

    /// \brief Returns the number of written bytes that the peer's host has not acknowledged yet.
    std::size_t unacknowledgedBytes() const;

    /// \brief Returns whether the kernel has accepted any byte since the last handOver().
    bool hasSent() const;

    bool isConnected() const;

    /// \brief Returns whether the peer's host has reset the connection. The event loop does not report it once the incoming data has ended.
    bool isReset() const;

    /// \brief Returns whether the peer's host refused the connection because nothing listens on the port.
    bool isRefused() const;

    /// \brief Pauses or resumes reading, to apply back-pressure to the peer.
    void setReading(bool isReading);

    /// \brief Reads no more than \a bytes at once until the next handOver(); at least one, and at most what is read without a bound.
    void setReadBound(std::size_t bytes);

    /// \brief Closes the sending side after the buffered data has been sent.
    void shutdownOutput();

    /// \brief Makes the connection be reset when it closes, by the end of the process too, so that the peer cannot mistake truncated data for a complete
    /// message; or takes that back.
    void resetOnClose(bool isReset = true);

private:
    TcpChannel(EventLoop::Loop &loop, int descriptor, ChannelObserver &observer, bool isConnected);
    ssize_t peek();
    void onReady(int events);
    void watch();
    void flush();
    bool sendBuffered();
    bool sendOnce();
    bool keepReading();
    void dropOutput();
    void updateMeters();
    void updateMeter();
    void updateKernelMeter();
    bool finishConnect();
    void readAvailable();
    void handleConnectionFailure();

    int m_descriptor;
    ChannelObserver *m_observer; ///< Never null.
    std::unique_ptr<EventLoop::IoWatcher> m_watcher;
    EventLoop::DeferredCall m_flush;
    SocketBuffers m_buffers;
    PeerWindow m_window;
    OutputQueue m_output;
    std::unique_ptr<ByteMeter> m_meter;
    std::unique_ptr<ByteMeter> m_kernelMeter;
    std::unique_ptr<ByteMeter> m_unreadMeter;
    std::size_t m_readBound; ///< Most bytes that are read at once.
    bool m_isConnected;
    bool m_isRefused = false;
    bool m_isReading = true;
    bool m_isEnded = false; ///< True once the peer sends nothing more.
    bool m_isBroken = false; ///< True once the observer was told that the connection broke.
    bool m_hasFailed = false; ///< True once a call has taken the socket's error, after which the kernel reports the end as an orderly one.
    bool m_hasSent = false;
    bool m_isShuttingDown = false;
    bool m_isResetOnClose = false;
    int m_watchedEvents = 0;
    bool *m_isDestroyed = nullptr; ///< Points to a flag for the destructor while onReady() runs; otherwise null.
};

} // namespace Verbena::Http
