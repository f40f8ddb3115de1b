#include "hostlistpoller.h"

#include <eventloop/loop.h>

namespace Verbena::Control {

namespace {

constexpr std::chrono::seconds fetchTimeout(2);
constexpr Decisions::BackoffOptions retryOptions{.initialDelay = std::chrono::milliseconds(1'000), .maximumDelay = std::chrono::milliseconds(60'000)};

} // namespace

HostListPoller::HostListPoller(
    Store::HostList &hosts, EventLoop::Loop &loop, const Decisions::FeedPollerOptions &options, std::uint64_t seed, ListCallback received)
    : m_hosts(hosts)
    , m_loop(loop)
    , m_poller(options, seed, loop.now())
    , m_backoff(retryOptions, seed)
    , m_received(std::move(received))
    , m_timer(loop, [this] { poll(); })
    , m_alive(std::make_shared<bool>(true))
{
    scheduleNext();
}

HostListPoller::~HostListPoller() = default;

void HostListPoller::setProcessCount(std::size_t count)
{
    m_poller.setProcessCount(count);
    scheduleNext();
}

void HostListPoller::requestBy(Core::TimePoint time)
{
    m_poller.requestPollBy(time);
    scheduleNext();
}

void HostListPoller::recordPeerUpdate()
{
    m_poller.recordPeerMessage(m_loop.now());
    scheduleNext();
}

void HostListPoller::poll()
{
    // The list may be as old as the request for it.
    const Core::TimePoint sentAt = m_loop.now();
    m_poller.markStarted(sentAt);
    m_hosts.fetch(sentAt + fetchTimeout, [this, sentAt, alive = std::weak_ptr(m_alive)](const Core::Result<std::vector<Store::HostEntry>> &hosts) {
        if (alive.expired()) {
            return;
        }
        if (hosts) {
            m_backoff.recordSuccess();
            m_received(hosts.value(), sentAt);
        } else {
            m_backoff.recordFailure(m_loop.now());
            m_poller.handleFailure(m_loop.now());
            m_poller.requestPollBy(m_backoff.notBefore());
        }
        scheduleNext();
    });
    scheduleNext();
}

void HostListPoller::scheduleNext()
{
    m_timer.startAt(m_poller.nextPoll());
}

} // namespace Verbena::Control
