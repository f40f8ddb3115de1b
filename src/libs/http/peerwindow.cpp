#include "peerwindow.h"

#include "socketoption.h"

#include <eventloop/loop.h>
#include <eventloop/timer.h>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace Verbena::Http {

namespace {

// A few times within the time after which a host counts as gone.
constexpr std::chrono::milliseconds checkInterval{1000};

// Time for which the kernel waits for an answer to a probe of a closed window, also while this process stands still for a moment; it probes at least as often.
constexpr std::chrono::milliseconds probeTimeout{8000};

// Probes in a row after which a host that answers none counts as silent; a single one may be lost.
constexpr unsigned maximumUnansweredProbes = 2;

// Time that has to pass without an acknowledgement besides: a probe, its answer and two checks.
constexpr std::chrono::milliseconds silenceBound = probeTimeout + 3 * checkInterval;

} // namespace

PeerWindow::PeerWindow(EventLoop::Loop &loop, int descriptor, std::function<void()> checked)
    : m_loop(loop)
    , m_descriptor(descriptor)
    , m_checked(std::move(checked))
{
}

PeerWindow::~PeerWindow() = default;

void PeerWindow::watch()
{
    if (m_timer == nullptr) {
        m_timer = std::make_unique<EventLoop::Timer>(m_loop, [this] {
            check();
            m_checked();
        });
    }
    if (!m_timer->isActive()) {
        m_timer->startAt(m_loop.now() + checkInterval);
    }
}

void PeerWindow::stop()
{
    m_timer.reset();
}

void PeerWindow::check()
{
    const std::optional<KernelQueue> queue = kernelQueue();
    if (!queue.has_value()) {
        return;
    }
    if (queue->bytes == 0) {
        m_closedSince.reset();
        setTimeout(hostTimeout);
        return;
    }
    const bool isClosed = queue->bytes == queue->unsentBytes; // Bytes wait, and none of them are under way.
    if (isClosed && !m_closedSince.has_value()) {
        m_closedSince = m_loop.now() - checkInterval;
    }
    setTimeout(m_closedSince.has_value() && isHostThere(isClosed) ? extendedTimeout() : hostTimeout);
    watch();
}

// The kernel counts from the time at which the window closed, whether the peer's host answers the probes or not, and would probe ever more rarely without a
// timeout. It may go on counting after the peer has read a little, so that only an empty queue begins anew.
std::chrono::milliseconds PeerWindow::extendedTimeout() const
{
    return std::chrono::ceil<std::chrono::milliseconds>(m_loop.now() - *m_closedSince) + probeTimeout;
}

bool PeerWindow::isHostThere(bool isClosed) const
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(m_descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return false;
    }
    const std::chrono::milliseconds silence(info.tcpi_last_ack_recv);
    return isClosed ? info.tcpi_probes < maximumUnansweredProbes || silence <= silenceBound : silence <= hostTimeout;
}

std::optional<PeerWindow::KernelQueue> PeerWindow::kernelQueue() const
{
    int bytes = 0;
    int unsentBytes = 0;
    if (ioctl(m_descriptor, SIOCOUTQ, &bytes) != 0 || ioctl(m_descriptor, SIOCOUTQNSD, &unsentBytes) != 0) {
        return std::nullopt;
    }
    return KernelQueue{static_cast<std::size_t>(bytes), static_cast<std::size_t>(unsentBytes)};
}

void PeerWindow::setTimeout(std::chrono::milliseconds timeout)
{
    if (timeout != m_timeout) {
        m_timeout = timeout;
        setSocketOption(m_descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned>(timeout.count()));
    }
}

} // namespace Verbena::Http
