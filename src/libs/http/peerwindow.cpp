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

// Less than this has room in any peer's window.
constexpr std::size_t uncheckedBytesBound = 4 * 1024;

// Probes of a closed window after which a host that answers none counts as silent; a single one may be lost.
constexpr unsigned maximumUnansweredProbes = 3;

// Leaves a connection whose peer has closed its window to the kernel's count of probes without an answer.
constexpr unsigned noUserTimeout = 0;

} // namespace

PeerWindow::PeerWindow(EventLoop::Loop &loop, int descriptor)
    : m_loop(loop)
    , m_descriptor(descriptor)
{
}

PeerWindow::~PeerWindow() = default;

void PeerWindow::recordSent(std::size_t bytes)
{
    m_uncheckedBytes += bytes;
}

void PeerWindow::watchIfMuchWasSent()
{
    if (m_uncheckedBytes >= uncheckedBytesBound) {
        watch();
    }
}

void PeerWindow::watch()
{
    if (m_timer == nullptr) {
        m_timer = std::make_unique<EventLoop::Timer>(m_loop, [this] { check(); });
    }
    if (!m_timer->isActive()) {
        m_timer->startAt(m_loop.now() + checkInterval);
    }
}

void PeerWindow::stop()
{
    m_timer.reset();
}

// The kernel goes on sending what it holds after the descriptor is closed, for as long as it would before.
void PeerWindow::release()
{
    setPatient(false);
}

// The kernel counts the time for which a peer reads nothing as time without an acknowledgement, though the peer's host answers each probe of its window.
void PeerWindow::check()
{
    const std::optional<KernelQueue> queue = kernelQueue();
    if (!queue.has_value()) {
        return;
    }
    const bool isClosed = queue->bytes > 0 && queue->bytes == queue->unsentBytes; // Bytes wait, and none of them are under way.
    setPatient(isClosed && !isPeerSilent());
    if (queue->bytes > 0) {
        watch();
    } else {
        m_uncheckedBytes = 0;
    }
}

// Returns whether the peer's host has left several probes of its window unanswered in a row.
bool PeerWindow::isPeerSilent() const
{
    tcp_info info{};
    socklen_t size = sizeof info;
    return getsockopt(m_descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_probes >= maximumUnansweredProbes;
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

void PeerWindow::setPatient(bool isPatient)
{
    if (m_isPatient != isPatient) {
        m_isPatient = isPatient;
        setSocketOption(m_descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, isPatient ? noUserTimeout : static_cast<unsigned>(hostTimeout.count()));
    }
}

} // namespace Verbena::Http
