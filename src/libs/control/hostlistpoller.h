#pragma once

#include <decisions/control/backoff.h>
#include <decisions/spread/feedpoller.h>
#include <eventloop/timer.h>
#include <store/hostlist.h>

#include <functional>
#include <memory>

namespace Verbena::Control {

/// \brief Polls the platform's host list at this process's share of the common rate.
class HostListPoller
{
public:
    using ListCallback = std::function<void(const std::vector<Store::HostEntry> &hosts, Core::TimePoint fetchedAt)>;

    /// \brief Uses \a hosts, which must outlive this object; \a received is called with each list, from the loop.
    HostListPoller(Store::HostList &hosts, EventLoop::Loop &loop, const Decisions::FeedPollerOptions &options, std::uint64_t seed, ListCallback received);
    ~HostListPoller();

    /// \brief Sets the number of processes that share the polling rate.
    void setProcessCount(std::size_t count);

    /// \brief Requests a poll at \a time at the latest.
    void requestBy(Core::TimePoint time);

    /// \brief Records that a peer sent the list, so that this process need not poll because of missing updates.
    void recordPeerUpdate();

private:
    void poll();
    void scheduleNext();

    Store::HostList &m_hosts;
    EventLoop::Loop &m_loop;
    Decisions::FeedPoller m_poller;
    Decisions::Backoff m_backoff; ///< Delay of the retry after a failed poll, which is not left to other processes.
    ListCallback m_received;
    EventLoop::Timer m_timer;
    std::shared_ptr<bool> m_alive;
};

} // namespace Verbena::Control
