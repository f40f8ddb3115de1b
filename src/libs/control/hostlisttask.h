#pragma once

#include "hostlistpoller.h"

#include <decisions/control/hostgossip.h>
#include <settingstree/peerchannel.h>

#include <functional>
#include <memory>

namespace Verbena::Control {

/// \brief Options of the polling and gossip of the host list in one process.
struct HostListTaskOptions
{
    Decisions::HostGossipOptions gossip;
    /// All processes of a deployment together poll at this rate; other changes arrive from peers.
    Decisions::FeedPollerOptions poller{.pollsPerSecond = 2,
        .minimumInterval = std::chrono::milliseconds(1'000),
        .silenceLimit = std::chrono::hours(1),
        .silentInterval = std::chrono::hours(1)};
    std::chrono::milliseconds startSpread{5'000}; ///< Window in which the first list is requested; 3,000 processes that start at once make 600 reads a second.
    std::uint64_t seed = 0; ///< Must differ between processes.
};

/// \brief Maintains the host list of one process: polls it at a share of the common rate, and exchanges changes with peers.
class HostListTask
{
public:
    /// \brief Starts at once. \a platform and \a channel must outlive this object.
    HostListTask(Store::HostList &platform, EventLoop::Loop &loop, SettingsTree::PeerChannel &channel, const HostListTaskOptions &options);
    ~HostListTask();

    /// \brief Handles a message for which isHostMessage() is true.
    void receiveFromPeer(const verbena::wire::Envelope &message);
    static bool isHostMessage(const verbena::wire::Envelope &message);

    /// \brief Sets the number of processes that share the polling rate.
    void setProcessCount(std::size_t count);

    /// \brief Sets a callback that is called from the loop whenever hosts() changed.
    void setChangedCallback(std::function<void()> callback);

    /// \brief Returns the hosts for Membership::setHostList(), to be passed with the current time.
    std::vector<Store::HostEntry> hosts() const;

private:
    void receiveList(const std::vector<Store::HostEntry> &hosts, Core::TimePoint fetchedAt);
    void advance();
    void handleUpdate(bool isChanged);

    EventLoop::Loop &m_loop;
    SettingsTree::PeerChannel &m_channel;
    Decisions::HostGossip m_gossip;
    std::function<void()> m_changedCallback;
    EventLoop::Timer m_timer;
    HostListPoller m_poller;
};

} // namespace Verbena::Control
