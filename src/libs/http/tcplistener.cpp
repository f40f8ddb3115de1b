#include "tcplistener.h"

#include "tcpchannel.h"

#include <eventloop/iowatcher.h>
#include <eventloop/loop.h>

#include <cerrno>
#include <cstring>

#include <sys/socket.h>
#include <unistd.h>

namespace Verbena::Http {

namespace {

// Number of connections that may wait while the loop is busy. It is large enough for a burst, because a full queue delays a caller by a second.
constexpr int backlog = 1024;

// Limits the connections accepted at once, so that a flood of new connections does not delay the open ones.
constexpr int maximumAcceptsPerWakeUp = 64;

} // namespace

Core::Result<std::unique_ptr<TcpListener>> TcpListener::create(EventLoop::Loop &loop, const Endpoint &endpoint, Acceptor acceptor)
{
    const auto fail = [&endpoint](const char *step) {
        return Core::Error{Core::ErrorCode::Unavailable, step, endpoint.toString(), std::strerror(errno)};
    };
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return fail("http.socket");
    }
    std::unique_ptr<TcpListener> listener(new TcpListener(loop, descriptor, std::move(acceptor)));
    const int isReused = 1;
    (void)setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &isReused, sizeof isReused);
    // Accepted connections inherit it. If it cannot be set, the kernel lets the buffers grow.
    (void)setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&endpoint.address), sizeof endpoint.address) != 0) {
        return fail("http.bind");
    }
    if (listen(descriptor, backlog) != 0) {
        return fail("http.listen");
    }
    listener->m_watcher->start(EV_READ);
    return listener;
}

TcpListener::TcpListener(EventLoop::Loop &loop, int descriptor, Acceptor acceptor)
    : m_descriptor(descriptor)
    , m_acceptor(std::move(acceptor))
    , m_watcher(std::make_unique<EventLoop::IoWatcher>(loop, descriptor, [this](int) { acceptAll(); }))
{
}

TcpListener::~TcpListener()
{
    m_watcher.reset();
    close(m_descriptor);
}

Endpoint TcpListener::endpoint() const
{
    Endpoint bound;
    socklen_t size = sizeof bound.address;
    (void)getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&bound.address), &size);
    return bound;
}

void TcpListener::acceptAll()
{
    for (int accepted = 0; accepted < maximumAcceptsPerWakeUp; ++accepted) {
        const int descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        m_acceptor(descriptor);
    }
}

} // namespace Verbena::Http
