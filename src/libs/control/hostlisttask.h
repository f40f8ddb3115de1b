#pragma once

#include "hostlistpoller.h"

#include <decisions/control/hostgossip.h>
#include <settingstree/peerchannel.h>

#include <functional>
#include <memory>

namespace Verbena::Control {

/// \brief How a process keeps its copy of the host list.
struct HostListTaskOptions
{
    Decisions::HostGossipOptions gossip;
    /// All processes of a deployment poll together at this rate; the rest is heard from peers.
    Decisions::FeedPollerOptions poller{.pollsPerSecond = 2,
        .minimumInterval = std::chrono::milliseconds(1'000),
        .silenceLimit = std::chrono::hours(1),
        .silentInterval = std::chrono::hours(1)};
    std::chrono::milliseconds startSpread{5'000}; ///< The first list is asked for within this: a herd of 3,000 makes 600 reads a second.
    std::uint64_t seed = 0; ///< Another one in each process.
};

/// \brief Keeps the host list of one process: polls it at its part of a common rate, and hears and passes on changes.
class HostListTask
{
public:
    /// \brief Starts at once. \a platform and \a channel have to live longer.
    HostListTask(Store::HostList &platform, EventLoop::Loop &loop, SettingsTree::PeerChannel &channel, const HostListTaskOptions &options);
    ~HostListTask();

    /// \brief Takes a message that isHostMessage().
    void receiveFromPeer(const verbena::wire::Envelope &message);
    static bool isHostMessage(const verbena::wire::Envelope &message);

    /// \brief Takes the number of processes that poll together.
    void setProcessCount(std::size_t count);

    /// \brief Called from the loop whenever hosts() changed.
    void setChangedCallback(std::function<void()> callback);

    /// \brief What Membership::setHostList() takes, with the present moment.
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
