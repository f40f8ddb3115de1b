#pragma once

#include "endpoint.h"

#include <core/result.h>
#include <eventloop/timer.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace Verbena::EventLoop {
class IoWatcher;
class Loop;
} // namespace Verbena::EventLoop

namespace Verbena::Http {

/// \brief A listening TCP socket on an event loop.
class TcpListener
{
public:
    /// \brief Function that is called with each accepted socket and takes ownership of it.
    using Acceptor = std::function<void(int descriptor)>;

    /// \brief Creates a listener on \a endpoint; port 0 lets the system choose. Errors: Unavailable, if the address cannot be bound.
    static Core::Result<std::unique_ptr<TcpListener>> create(EventLoop::Loop &loop, const Endpoint &endpoint, Acceptor acceptor);
    ~TcpListener();

    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// \brief Binds \a endpoint without listening yet, so that callers are refused. Errors: as create().
    static Core::Result<std::unique_ptr<TcpListener>> bind(EventLoop::Loop &loop, const Endpoint &endpoint, Acceptor acceptor);

    /// \brief Starts to accept connections. Errors: Unavailable, if another process listens on the address.
    Core::Result<void> listen();

    /// \brief Accepts the connections that wait, as their peers already count them as established. Returns whether none is left; there may be if the system
    /// refuses a descriptor or the acceptor pauses.
    bool acceptWaiting();

    /// \brief Leaves new connections waiting until resume().
    void pause();
    void resume();
    bool isPaused() const;

    /// \brief Returns how often accepting has paused because the system refused a descriptor or memory.
    std::uint64_t failedAcceptCount() const;

    /// \brief Returns the address in use, including a port chosen by the system.
    Endpoint endpoint() const;

private:
    TcpListener(EventLoop::Loop &loop, int descriptor, Acceptor acceptor);
    static Core::Error errorAt(const char *step, const Endpoint &endpoint);
    enum class AcceptStep {
        Continue,
        QueueEmpty,
        OutOfResources, ///< The system refuses a descriptor or memory.
    };

    void acceptSome();
    AcceptStep acceptOne();
    void watch();

    EventLoop::Loop &m_loop;
    int m_descriptor;
    Acceptor m_acceptor;
    std::unique_ptr<EventLoop::IoWatcher> m_watcher;
    EventLoop::Timer m_acceptRetryTimer; ///< Active while accepting waits for the system to have descriptors again.
    bool m_isListening = false;
    bool m_isPaused = false;
    std::uint64_t m_failedAccepts = 0;
};

} // namespace Verbena::Http
