#pragma once

#include "endpoint.h"

#include <core/result.h>
#include <eventloop/deferredcall.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Verbena::EventLoop {
class IoWatcher;
class Loop;
} // namespace Verbena::EventLoop

namespace Verbena::Http {

/// \brief How the far side of a connection ended it.
enum class ChannelEnd {
    Closed, ///< In good order.
    Broken, ///< Reset, silent for too long, or never made.
};

/// \brief What becomes of a connection. Each function may destroy the channel that calls it.
class ChannelObserver
{
public:
    virtual ~ChannelObserver() = default;

    /// \brief Bytes have come; the view ends with the call.
    virtual void receiveBytes(std::string_view data) = 0;

    /// \brief Nothing will come any more. After Broken nothing can be sent either.
    virtual void receiveEnd(ChannelEnd end) = 0;

    /// \brief The kernel has taken all that was written. This one may not destroy the channel.
    virtual void outputDrained()
    {
    }
};

/// \brief One TCP connection on an event loop.
///
/// Unlike the library clients of this project it tells apart what a relay has to know: whether any byte of a request can have left, and that the far side
/// is gone while nothing is being read from it.
class TcpChannel
{
public:
    /// \brief Begins to connect to \a endpoint. Errors: NotFound, if it is known at once that nobody listens there; Unavailable, if the kernel refuses.
    static Core::Result<std::unique_ptr<TcpChannel>> connect(EventLoop::Loop &loop, const Endpoint &endpoint, ChannelObserver &observer);

    /// \brief Takes over the accepted socket \a descriptor.
    static std::unique_ptr<TcpChannel> adopt(EventLoop::Loop &loop, int descriptor, ChannelObserver &observer);
    ~TcpChannel();

    TcpChannel(const TcpChannel &) = delete;
    TcpChannel &operator=(const TcpChannel &) = delete;

    /// \brief Sends \a data as soon as the connection takes it, together with what else is written in this turn of the loop.
    void write(std::string_view data);

    /// \brief Bytes written that the kernel has not taken yet.
    std::size_t bufferedBytes() const;

    /// \brief Whether the kernel has taken any byte.
    bool hasSent() const;

    bool isConnected() const;

    /// \brief Whether the host answered that nobody listens there.
    bool isRefused() const;

    /// \brief Pauses or resumes reading, so that the far side has to wait.
    void setReading(bool isReading);

    /// \brief Ends the outgoing direction after what is buffered.
    void shutdownOutput();

    /// \brief Makes the end of the channel a reset, so that the far side cannot take what it has for whole.
    void resetOnClose();

private:
    TcpChannel(EventLoop::Loop &loop, int descriptor, ChannelObserver &observer, bool isConnected);
    void onReady(int events);
    void watch();
    void flush();
    bool sendBuffered();
    bool finishConnect();
    void readAvailable();
    void breakDown();

    EventLoop::Loop &m_loop;
    int m_descriptor;
    ChannelObserver &m_observer;
    std::unique_ptr<EventLoop::IoWatcher> m_watcher;
    EventLoop::DeferredCall m_flush;
    std::string m_output;
    std::size_t m_outputOffset = 0;
    bool m_isConnected;
    bool m_isRefused = false;
    bool m_isReading = true;
    bool m_isEnded = false; ///< The far side sends nothing more.
    bool m_isBroken = false;
    bool m_hasSent = false;
    bool m_isShuttingDown = false;
    int m_watchedEvents = 0;
    bool *m_isDestroyed = nullptr; ///< Set while a callback runs.
};

} // namespace Verbena::Http
