#include "tcplistener.h"

#include "resourceshortage.h"
#include "socketbuffers.h"

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

// Time after which a connection that the system refused to hand over is tried again.
constexpr std::chrono::milliseconds acceptRetryDelay{50};

} // namespace

Core::Result<std::unique_ptr<TcpListener>> TcpListener::create(EventLoop::Loop &loop, const Endpoint &endpoint, Acceptor acceptor)
{
    VERBENA_TRY(listener, bind(loop, endpoint, std::move(acceptor)));
    BOOST_OUTCOME_TRY(listener->listen());
    return std::move(listener);
}

Core::Result<std::unique_ptr<TcpListener>> TcpListener::bind(EventLoop::Loop &loop, const Endpoint &endpoint, Acceptor acceptor)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return errorAt("http.socket", endpoint);
    }
    std::unique_ptr<TcpListener> listener(new TcpListener(loop, descriptor, std::move(acceptor)));
    const int isReused = 1;
    (void)setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &isReused, sizeof isReused);
    boundSocketBuffers(descriptor);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&endpoint.address), sizeof endpoint.address) != 0) {
        return errorAt("http.bind", endpoint);
    }
    return listener;
}

Core::Error TcpListener::errorAt(const char *step, const Endpoint &endpoint)
{
    return {Core::ErrorCode::Unavailable, step, endpoint.toString(), std::strerror(errno)};
}

TcpListener::TcpListener(EventLoop::Loop &loop, int descriptor, Acceptor acceptor)
    : m_loop(loop)
    , m_descriptor(descriptor)
    , m_acceptor(std::move(acceptor))
    , m_watcher(std::make_unique<EventLoop::IoWatcher>(loop, descriptor, [this](int) { acceptSome(); }))
    , m_acceptRetryTimer(loop, [this] { watch(); })
{
}

TcpListener::~TcpListener()
{
    m_watcher.reset();
    close(m_descriptor);
}

Core::Result<void> TcpListener::listen()
{
    if (::listen(m_descriptor, backlog) != 0) {
        return errorAt("http.listen", endpoint());
    }
    m_isListening = true;
    watch();
    return Core::success();
}

Endpoint TcpListener::endpoint() const
{
    Endpoint bound;
    socklen_t size = sizeof bound.address;
    (void)getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&bound.address), &size);
    return bound;
}

void TcpListener::acceptSome()
{
    for (int accepted = 0; accepted < maximumAcceptsPerWakeUp; ++accepted) {
        if (m_isPaused || acceptOne() != AcceptStep::Continue) {
            return;
        }
    }
    m_loop.recordUnreadInput();
}

bool TcpListener::acceptWaiting()
{
    AcceptStep last = AcceptStep::Continue;
    for (int accepted = 0; accepted <= backlog && !m_isPaused && last == AcceptStep::Continue; ++accepted) {
        last = acceptOne();
    }
    return last == AcceptStep::QueueEmpty;
}

TcpListener::AcceptStep TcpListener::acceptOne()
{
    const int descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor >= 0) {
        m_acceptor(descriptor);
        return AcceptStep::Continue;
    }
    if (errno == ECONNABORTED || errno == EINTR) {
        return AcceptStep::Continue;
    }
    if (!isResourceShortage(errno)) {
        return AcceptStep::QueueEmpty;
    }
    // The waiting connection would keep the socket ready, and the loop busy, all the time.
    ++m_failedAccepts;
    m_acceptRetryTimer.startAt(m_loop.now() + acceptRetryDelay);
    watch();
    return AcceptStep::OutOfResources;
}

void TcpListener::pause()
{
    m_isPaused = true;
    watch();
}

void TcpListener::resume()
{
    m_isPaused = false;
    watch();
}

bool TcpListener::isPaused() const
{
    return m_isPaused;
}

void TcpListener::watch()
{
    if (m_isListening && !m_isPaused && !m_acceptRetryTimer.isActive()) {
        m_watcher->start(EV_READ);
    } else {
        m_watcher->stop();
    }
}

std::uint64_t TcpListener::failedAcceptCount() const
{
    return m_failedAccepts;
}

} // namespace Verbena::Http
