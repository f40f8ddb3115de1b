#pragma once

#include <decisions/control/backoff.h>
#include <decisions/spread/feedpoller.h>
#include <eventloop/timer.h>
#include <store/hostlist.h>

#include <functional>
#include <memory>

namespace Verbena::Control {

/// \brief Polls the platform's host list at this process's part of the common rate.
class HostListPoller
{
public:
    using ListCallback = std::function<void(const std::vector<Store::HostEntry> &hosts, Core::TimePoint fetchedAt)>;

    /// \brief Uses \a hosts, which has to live longer; \a received is called with each list, from the loop.
    HostListPoller(Store::HostList &hosts, EventLoop::Loop &loop, const Decisions::FeedPollerOptions &options, std::uint64_t seed, ListCallback received);
    ~HostListPoller();

    /// \brief Takes the number of processes that poll together.
    void setProcessCount(std::size_t count);

    /// \brief Asks for a poll at \a moment at the latest.
    void requestBy(Core::TimePoint time);

    /// \brief Notes that a peer passed the list on, so that this process need not poll for want of news.
    void recordPeerUpdate();

private:
    void poll();
    void scheduleNext();

    Store::HostList &m_hosts;
    EventLoop::Loop &m_loop;
    Decisions::FeedPoller m_poller;
    Decisions::Backoff m_backoff; ///< A poll that failed is tried again, not left to others.
    ListCallback m_received;
    EventLoop::Timer m_timer;
    std::shared_ptr<bool> m_alive;
};

} // namespace Verbena::Control
