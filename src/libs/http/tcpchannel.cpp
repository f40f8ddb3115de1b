#include "tcpchannel.h"

#include "resourceshortage.h"
#include "socketoption.h"

#include <eventloop/iowatcher.h>
#include <eventloop/loop.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Verbena::Http {

namespace {

// Large enough to receive most responses and prompts in one read. The buffer is shared by all channels of a thread.
constexpr std::size_t readBytes = 64 * 1024;

// Probes of an idle connection.
constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

thread_local std::size_t openChannels = 0;

void setOptions(int descriptor)
{
    setSocketOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    // Callers and backend servers are a few milliseconds away, and a lost packet is retransmitted several times within this time.
    setSocketOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned>(PeerWindow::hostTimeout.count()));
    setSocketOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setSocketOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setSocketOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setSocketOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

// Returns whether the call that failed with \a error may be tried again later.
bool isTemporary(int error)
{
    return error == EAGAIN || error == EINTR;
}

Core::ErrorCode connectErrorCode(int error)
{
    if (error == ECONNREFUSED) {
        return Core::ErrorCode::NotFound;
    }
    const bool isExhausted = isResourceShortage(error) || error == EADDRNOTAVAIL;
    return isExhausted ? Core::ErrorCode::ResourceExhausted : Core::ErrorCode::Unavailable;
}

} // namespace

Core::Result<std::unique_ptr<TcpChannel>> TcpChannel::connect(EventLoop::Loop &loop, const Endpoint &endpoint, ChannelObserver &observer, int receiveBytes)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return Core::Error{connectErrorCode(errno), "http.socket", endpoint.toString(), std::strerror(errno)};
    }
    setOptions(descriptor);
    boundSocketBuffers(descriptor, receiveBytes);
    const int status = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&endpoint.address), sizeof endpoint.address);
    if (status != 0 && errno != EINPROGRESS) {
        const std::string reason = std::strerror(errno);
        const Core::ErrorCode code = connectErrorCode(errno);
        close(descriptor);
        return Core::Error{code, "http.connect", endpoint.toString(), reason};
    }
    return std::unique_ptr<TcpChannel>(new TcpChannel(loop, descriptor, observer, status == 0));
}

std::unique_ptr<TcpChannel> TcpChannel::adopt(EventLoop::Loop &loop, int descriptor, ChannelObserver &observer)
{
    setOptions(descriptor);
    return std::unique_ptr<TcpChannel>(new TcpChannel(loop, descriptor, observer, true));
}

TcpChannel::TcpChannel(EventLoop::Loop &loop, int descriptor, ChannelObserver &observer, bool isConnected)
    : m_descriptor(descriptor)
    , m_observer(&observer)
    , m_watcher(std::make_unique<EventLoop::IoWatcher>(loop, descriptor, [this](int events) { onReady(events); }))
    , m_flush(loop, [this] { flush(); })
    , m_buffers(descriptor)
    , m_window(loop, descriptor, [this] { updateKernelBytes(); })
    , m_readBound(readBytes)
    , m_isConnected(isConnected)
{
    ++openChannels;
    watch();
}

TcpChannel::~TcpChannel()
{
    --openChannels;
    if (m_isDestroyed != nullptr) {
        *m_isDestroyed = true;
    }
    m_watcher.reset();
    m_window.stop();
    close(m_descriptor);
}

std::size_t TcpChannel::openCount()
{
    return openChannels;
}

void TcpChannel::write(std::string_view data)
{
    if (m_isBroken || m_hasFailed) {
        return;
    }
    // Everything written in one iteration of the loop is sent together.
    const bool isFirst = bufferedBytes() == 0;
    m_output.append(data);
    updateMeter();
    if (isFirst) {
        m_flush.schedule();
    }
}

void TcpChannel::write(const OutgoingMessage &message)
{
    if (m_isBroken || m_hasFailed) {
        return;
    }
    const bool isFirst = bufferedBytes() == 0;
    m_output.append(message);
    updateMeter();
    if (isFirst) {
        m_flush.schedule();
    }
}

void TcpChannel::writeNow(const OutgoingMessage &message)
{
    if (m_isBroken || m_hasFailed) {
        return;
    }
    m_output.append(message);
    updateMeter();
    flush();
}

void TcpChannel::handOver(ChannelObserver &observer)
{
    m_observer = &observer;
    m_hasSent = false;
    m_readBound = readBytes;
    m_output.shrink();
    updateMeter();
    setReading(true);
}

bool TcpChannel::isIdle()
{
    if (!m_isConnected || m_isEnded || m_isBroken || m_hasFailed || bufferedBytes() > 0) {
        return false;
    }
    return peek() < 0 && errno == EAGAIN;
}

bool TcpChannel::hasUnreadBytes()
{
    return !m_isEnded && peek() > 0;
}

// Returns what recv() would for one byte, and leaves the byte.
ssize_t TcpChannel::peek()
{
    char next = 0;
    const ssize_t count = recv(m_descriptor, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    m_hasFailed = m_hasFailed || (count < 0 && !isTemporary(errno));
    return count;
}

// A send error is not handled here: the loop reports it when the socket becomes ready.
void TcpChannel::flush()
{
    if (m_isConnected && !m_isBroken && sendBuffered() && bufferedBytes() == 0) {
        m_observer->outputDrained();
    }
    watch();
}

std::size_t TcpChannel::bufferedBytes() const
{
    return m_output.bytes();
}

std::size_t TcpChannel::heldBytes() const
{
    return m_output.heldBytes();
}

void TcpChannel::setMeter(std::unique_ptr<ByteMeter> meter)
{
    m_meter = std::move(meter);
    updateMeter();
}

void TcpChannel::updateMeter()
{
    if (m_meter != nullptr) {
        m_meter->setBytes(heldBytes());
    }
}

void TcpChannel::setKernelMeter(std::unique_ptr<ByteMeter> meter)
{
    m_kernelMeter = std::move(meter);
    updateKernelMeter();
}

void TcpChannel::updateMeters()
{
    updateMeter();
    updateKernelMeter();
}

void TcpChannel::updateKernelMeter()
{
    if (m_kernelMeter != nullptr) {
        m_kernelMeter->setBytes(kernelBytes());
    }
}

std::size_t TcpChannel::kernelBytes() const
{
    return m_isBroken || m_hasFailed ? 0 : m_buffers.sentBytes();
}

void TcpChannel::updateKernelBytes()
{
    m_buffers.update();
    updateKernelMeter();
}

void TcpChannel::setUnreadMeter(std::unique_ptr<ByteMeter> meter)
{
    m_unreadMeter = std::move(meter);
}

std::size_t TcpChannel::unreadBytes() const
{
    return m_buffers.unreadBytes();
}

void TcpChannel::updateUnreadBytes()
{
    m_buffers.updateUnread();
    if (m_unreadMeter != nullptr) {
        m_unreadMeter->setBytes(unreadBytes());
    }
}

void TcpChannel::setSendBound(std::size_t bytes)
{
    m_buffers.setSendBound(bytes);
}

std::size_t TcpChannel::unacknowledgedBytes() const
{
    return bufferedBytes() + m_buffers.unacknowledgedBytes();
}

bool TcpChannel::hasSent() const
{
    return m_hasSent;
}

bool TcpChannel::isConnected() const
{
    return m_isConnected;
}

bool TcpChannel::isReset() const
{
    pollfd state{m_descriptor, 0, 0};
    return m_isBroken || m_hasFailed || (poll(&state, 1, 0) > 0 && (state.revents & POLLERR) != 0);
}

bool TcpChannel::isRefused() const
{
    return m_isRefused;
}

void TcpChannel::setReading(bool isReading)
{
    m_isReading = isReading;
    watch();
}

void TcpChannel::setReadBound(std::size_t bytes)
{
    m_readBound = std::clamp<std::size_t>(bytes, 1, readBytes);
}

void TcpChannel::shutdownOutput()
{
    m_isShuttingDown = true;
    if (m_isConnected && bufferedBytes() == 0) {
        shutdown(m_descriptor, SHUT_WR);
    }
}

void TcpChannel::resetOnClose(bool isReset)
{
    if (m_isResetOnClose == isReset) {
        return;
    }
    m_isResetOnClose = isReset;
    setSocketOption(m_descriptor, SOL_SOCKET, SO_LINGER, linger{isReset ? 1 : 0, 0});
}

void TcpChannel::watch()
{
    int events = 0;
    if (m_isConnected && m_isReading && !m_isEnded) {
        events |= EV_READ;
    }
    if (!m_isBroken && (!m_isConnected || bufferedBytes() > 0)) {
        events |= EV_WRITE;
    }
    if (events == m_watchedEvents) {
        return;
    }
    m_watchedEvents = events;
    if (events == 0) {
        m_watcher->stop();
    } else {
        m_watcher->start(events);
    }
}

void TcpChannel::onReady(int events)
{
    bool isDestroyed = false;
    m_isDestroyed = &isDestroyed;
    if ((events & EV_WRITE) != 0) {
        if ((!m_isConnected && !finishConnect()) || (!sendBuffered() && !keepReading())) {
            handleConnectionFailure();
            if (!isDestroyed) {
                m_isDestroyed = nullptr;
            }
            return;
        }
        if (!m_hasFailed && bufferedBytes() == 0) {
            m_observer->outputDrained();
            if (isDestroyed) {
                return;
            }
        }
    }
    if ((events & EV_READ) != 0 && m_isConnected && m_isReading) {
        readAvailable();
        if (isDestroyed) {
            return;
        }
    }
    m_isDestroyed = nullptr;
    watch();
}

bool TcpChannel::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof error;
    if (getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        m_isRefused = error == ECONNREFUSED;
        return false;
    }
    m_isConnected = true;
    return true;
}

bool TcpChannel::sendBuffered()
{
    if (m_hasFailed) {
        return false;
    }
    if (bufferedBytes() > 0) {
        m_window.watch();
    }
    while (bufferedBytes() > 0 && sendOnce()) {
    }
    m_output.release();
    updateMeters();
    if (m_isShuttingDown && !m_hasFailed && bufferedBytes() == 0) {
        shutdown(m_descriptor, SHUT_WR);
    }
    return !m_hasFailed;
}

// Returns false if the kernel accepts nothing for now, or never again.
bool TcpChannel::sendOnce()
{
    const ssize_t sent = m_output.sendTo(m_descriptor);
    if (sent < 0) {
        m_hasFailed = !isTemporary(errno);
        return false;
    }
    m_hasSent = true;
    m_buffers.recordSent(static_cast<std::size_t>(sent));
    m_observer->outputSent();
    return true;
}

// Returns false if nobody wants what has come before the failure. It may be a whole answer; the failure is reported when it has been read.
bool TcpChannel::keepReading()
{
    if (m_isEnded || !m_observer->isRestWanted()) {
        return false;
    }
    dropOutput();
    return true;
}

void TcpChannel::dropOutput()
{
    m_output.clear();
    updateMeters();
    m_window.stop();
}

void TcpChannel::readAvailable()
{
    static thread_local std::array<char, readBytes> buffer;
    const ssize_t count = recv(m_descriptor, buffer.data(), m_readBound, 0);
    if (count > 0) {
        m_observer->receiveBytes({buffer.data(), static_cast<std::size_t>(count)});
        return;
    }
    if (count < 0 && isTemporary(errno)) {
        return;
    }
    if (count < 0 || m_hasFailed) {
        handleConnectionFailure();
        return;
    }
    m_isEnded = true;
    m_observer->receiveEnd(ChannelEnd::Closed);
}

void TcpChannel::handleConnectionFailure()
{
    m_isBroken = true;
    m_isEnded = true;
    dropOutput();
    m_watcher->stop();
    m_watchedEvents = 0;
    m_observer->receiveEnd(ChannelEnd::Broken);
}

} // namespace Verbena::Http
