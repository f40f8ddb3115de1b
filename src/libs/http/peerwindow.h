#pragma once

#include <core/time.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace Verbena::EventLoop {
class Loop;
class Timer;
} // namespace Verbena::EventLoop

namespace Verbena::Http {

/// \brief Tells a peer that reads nothing from one whose host is gone, while bytes wait for it in the kernel.
class PeerWindow
{
public:
    /// \brief Time without an acknowledgement after which the kernel ends a connection whose peer has room for what is sent.
    static constexpr std::chrono::milliseconds hostTimeout{4000};

    /// \brief Watches the connection of the socket \a descriptor, which must outlive it. \a checked is called after each look at the peer.
    PeerWindow(EventLoop::Loop &loop, int descriptor, std::function<void()> checked);
    ~PeerWindow();

    PeerWindow(const PeerWindow &) = delete;
    PeerWindow &operator=(const PeerWindow &) = delete;

    /// \brief Looks at the peer after a while, and then until the kernel holds nothing. To be called whenever something was written.
    void watch();

    /// \brief Stops to watch, as the connection has ended.
    void stop();

private:
    // Bytes that the kernel has accepted and the peer's host has not acknowledged.
    struct KernelQueue
    {
        std::size_t bytes = 0;
        std::size_t unsentBytes = 0; ///< Of these, what has not been sent, as the peer's window has no room for it.
    };

    void check();
    std::optional<KernelQueue> kernelQueue() const;
    bool isHostThere(bool isClosed) const;
    std::chrono::milliseconds extendedTimeout() const;
    void setTimeout(std::chrono::milliseconds timeout);

    EventLoop::Loop &m_loop;
    int m_descriptor;
    std::function<void()> m_checked;
    std::unique_ptr<EventLoop::Timer> m_timer; ///< Runs while the kernel holds bytes; null before the first check.
    std::optional<Core::TimePoint> m_closedSince; ///< When the window closed at the earliest; none if it has not since the kernel held nothing.
    std::chrono::milliseconds m_timeout = hostTimeout; ///< Time for which the kernel waits for an acknowledgement.
};

} // namespace Verbena::Http
