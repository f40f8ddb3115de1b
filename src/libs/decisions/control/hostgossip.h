#pragma once

#include "../spread/bytebudget.h"
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

/// \brief The state of a host as processes send it to each other.
struct HostChange
{
    Store::HostEntry host;
    bool isGone = false;
};

/// \brief Requests sending changes to a peer.
struct SendHostChanges
{
    std::string peer;
    std::vector<HostChange> changes;
};

/// \brief Rates and limits of the gossip about the host list.
struct HostGossipOptions
{
    std::size_t fanout = 4; ///< Number of peers that receive a change in each round.
    std::uint32_t rounds = 2; ///< Number of rounds in which each process sends a change.
    std::chrono::milliseconds roundInterval{500};
    std::size_t changesPerMessage = 32;
    std::size_t bytesPerSecond = 2'000; ///< Limit for all messages of this process; bounds the cost of a large change.
    std::size_t burstBytes = 32'000;
    std::chrono::hours goneRetention{1}; ///< Time during which a removed host is remembered, so that older updates about it are recognised as outdated.
};

/// \brief The host list of a process, merged from its own polls and from updates of its peers, and the updates to send on.
///
/// Changes merge to the same result in any order: the highest incarnation of a name wins, and within one incarnation the state only
/// advances from live to leaving to gone.
class HostGossip
{
public:
    HostGossip(const HostGossipOptions &options, std::uint64_t seed, Core::TimePoint now);

    /// \brief Applies a list that this process requested at \a fetchedAt. Returns true if hosts() changed.
    bool applyList(const std::vector<Store::HostEntry> &hosts, Core::TimePoint fetchedAt, Core::TimePoint now);

    /// \brief Applies changes received from a peer. Returns true if hosts() changed.
    bool applyChanges(const std::vector<HostChange> &changes, Core::TimePoint now);

    /// \brief Returns true once a whole list was applied.
    bool isComplete() const;

    /// \brief Returns the hosts that are not gone, sorted by name.
    std::vector<Store::HostEntry> hosts() const;

    /// \brief Returns the messages to send at \a now.
    std::vector<SendHostChanges> advance(std::span<const std::string> peers, Core::TimePoint now);

    /// \brief Returns when advance() is due; empty if there is nothing to send.
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
    ByteBudget m_budget;
    bool m_isComplete = false;
    std::unordered_map<std::string, Entry> m_hosts;
    std::deque<PendingUpdate> m_pendingUpdates;
    Core::TimePoint m_nextRound;
};

} // namespace Verbena::Decisions
