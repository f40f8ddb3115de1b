#pragma once

#include "randomsource.h"

#include <core/time.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief Options of a GossipPlan.
struct GossipPlanOptions
{
    std::size_t fanout = 4; ///< Number of peers to which new settings are announced immediately.
    std::chrono::milliseconds exchangeInterval{2'000}; ///< Mean interval between the regular digests of a process.
    std::chrono::milliseconds startInterval{250}; ///< The same for a process without settings, which asks fanout peers each time.
    std::chrono::milliseconds pullTimeout{1'000}; ///< Time after which an unanswered pull is abandoned.
};

/// \brief Chooses the peers to which a process announces its settings and from which it pulls newer ones.
///
/// New settings are announced by a digest to a few random peers, and peers that lack them pull them, so that the content is sent to each
/// process only once. A regular exchange of digests with one random peer covers lost announcements.
class GossipPlan
{
public:
    GossipPlan(const GossipPlanOptions &options, std::uint64_t seed, Core::TimePoint now);

    /// \brief Returns random \a peers to which new settings are announced.
    std::vector<std::string> sampleAnnouncementPeers(std::span<const std::string> peers);

    /// \brief Returns random \a peers for a regular exchange, or none if it is not due at \a now.
    ///
    /// Also chooses the time of the next exchange. \a isStarting is set if the process has no settings yet.
    std::vector<std::string> sampleExchangePeers(std::span<const std::string> peers, bool isStarting, Core::TimePoint now);

    /// \brief Begins a pull from \a peer; returns false if another pull is still open.
    bool beginPull(const std::string &peer, Core::TimePoint now);

    /// \brief Records that \a peer holds \a revision, to be pulled after the open pull.
    void recordNewerPeer(const std::string &peer, std::uint64_t revision);

    /// \brief Removes the recorded peer and returns it if it holds a newer revision than \a revision.
    std::optional<std::string> takeNewerPeer(std::uint64_t revision);

    /// \brief Extends the open pull from \a peer for its next part; returns false if there is none.
    bool continuePull(const std::string &peer, Core::TimePoint now);

    /// \brief Ends the open pull if it is from \a peer.
    void endPull(const std::string &peer);

    /// \brief Abandons an open pull that timed out at \a now, and makes an exchange due.
    void expirePull(Core::TimePoint now);

    /// \brief Returns when the next exchange is due or the open pull times out.
    Core::TimePoint nextDeadline() const;

private:
    struct Pull
    {
        std::string peer;
        Core::TimePoint deadline;
    };

    GossipPlanOptions m_options;
    RandomSource m_random;
    Core::TimePoint m_nextExchange;
    std::optional<Pull> m_pull;
    std::string m_newerPeer;
    std::uint64_t m_newerRevision = 0;
};

} // namespace Verbena::Decisions
