#pragma once

#include "endpoint.h"

#include <core/result.h>

#include <functional>
#include <memory>

namespace Verbena::EventLoop {
class IoWatcher;
class Loop;
} // namespace Verbena::EventLoop

namespace Verbena::Http {

/// \brief Accepts TCP connections on an event loop.
class TcpListener
{
public:
    /// \brief Called with each accepted socket, which it has to take over.
    using Acceptor = std::function<void(int descriptor)>;

    /// \brief Listens on \a endpoint; port 0 lets the system choose. Errors: Unavailable, if the address cannot be had.
    static Core::Result<std::unique_ptr<TcpListener>> create(EventLoop::Loop &loop, const Endpoint &endpoint, Acceptor acceptor);
    ~TcpListener();

    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// \brief The address in use, also when the system chose the port.
    Endpoint endpoint() const;

private:
    TcpListener(EventLoop::Loop &loop, int descriptor, Acceptor acceptor);
    void acceptAll();

    int m_descriptor;
    Acceptor m_acceptor;
    std::unique_ptr<EventLoop::IoWatcher> m_watcher;
};

} // namespace Verbena::Http
