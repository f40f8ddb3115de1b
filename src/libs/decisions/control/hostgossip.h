#pragma once

#include "../spread/pushbudget.h"
#include "../spread/randomsource.h"

#include <core/time.h>
#include <store/hostlist.h>

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief A host as processes pass it on.
struct HostChange
{
    Store::HostEntry host;
    bool isGone = false;
};

/// \brief Asks to send changes to a peer.
struct SendHostChanges
{
    std::string peer;
    std::vector<HostChange> changes;
};

/// \brief How changes of the host list are passed on.
struct HostGossipOptions
{
    std::size_t fanout = 4; ///< Peers that get a change at a time.
    std::uint32_t rounds = 2; ///< So often each process passes a change on.
    std::chrono::milliseconds roundInterval{500};
    std::size_t changesPerMessage = 32;
    std::size_t bytesPerSecond = 2'000; ///< Of all messages of this process; bounds what a large change costs.
    std::size_t burstBytes = 32'000;
    std::chrono::hours goneRetention{1}; ///< For so long older news of a host that is gone are told from new ones.
};

/// \brief The host list of a process, from its own polls and from what peers pass on.
///
/// Changes merge in any order to the same result: the highest incarnation of a name counts, and one incarnation only goes from
/// live to leaving to gone.
class HostGossip
{
public:
    HostGossip(const HostGossipOptions &options, std::uint64_t seed, Core::TimePoint now);

    /// \brief Takes a list that this process fetched, having asked at \a fetchedAt. True if hosts() changed.
    bool applyList(const std::vector<Store::HostEntry> &hosts, Core::TimePoint fetchedAt, Core::TimePoint now);

    /// \brief Takes what a peer passed on. True if hosts() changed.
    bool applyChanges(const std::vector<HostChange> &changes, Core::TimePoint now);

    /// \brief True once a whole list was taken.
    bool isComplete() const;

    /// \brief The hosts that are not gone.
    std::vector<Store::HostEntry> hosts() const;

    /// \brief What is to be sent at \a now.
    std::vector<SendHostChanges> advance(std::span<const std::string> peers, Core::TimePoint now);

    /// \brief When advance() has something to do.
    std::optional<Core::TimePoint> nextDeadline(Core::TimePoint now) const;

private:
    struct Entry
    {
        HostChange change;
        Core::TimePoint recordedAt;
    };

    struct PendingUpdate
    {
        std::string name;
        std::uint32_t roundsLeft = 0;
    };

    bool apply(const HostChange &change, Core::TimePoint now);
    static bool isNewer(const Entry &entry, const HostChange &change);
    void queueUpdate(const std::string &name);
    void evictGoneHosts(Core::TimePoint now);
    std::vector<HostChange> takeBatch();

    HostGossipOptions m_options;
    RandomSource m_random;
    PushBudget m_budget;
    bool m_isComplete = false;
    std::unordered_map<std::string, Entry> m_hosts;
    std::deque<PendingUpdate> m_pendingUpdates;
    Core::TimePoint m_nextRound;
};

} // namespace Verbena::Decisions
