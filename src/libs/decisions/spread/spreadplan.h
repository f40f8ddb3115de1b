#pragma once

#include "randomsource.h"

#include <core/time.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief How processes tell each other of settings.
struct SpreadPlanOptions
{
    std::size_t fanout = 4; ///< Peers that hear of something new at once.
    std::chrono::milliseconds exchangeInterval{2'000}; ///< Mean between two digests that a process sends in any case.
    std::chrono::milliseconds startInterval{250}; ///< The same for a process without settings, which asks several peers at once.
    std::chrono::milliseconds pullTimeout{1'000}; ///< A pull that is not answered by then is given up.
};

/// \brief Decides whom to tell of the settings held, and whom to ask for newer ones.
///
/// What is new is announced by a digest to a few random peers, and who lacks it pulls it: content crosses to each process once.
/// What announcements miss, the regular exchange with one random peer brings.
class SpreadPlan
{
public:
    SpreadPlan(const SpreadPlanOptions &options, std::uint64_t seed, Core::TimePoint now);

    /// \brief Draws the peers of \a peers that hear of something new.
    std::vector<std::string> drawAnnounced(std::span<const std::string> peers);

    /// \brief Draws the peers for a regular exchange that is due, and the moment of the next; none if it is not due at \a now.
    ///
    /// With \a isStarting the process has no settings yet.
    std::vector<std::string> drawExchange(std::span<const std::string> peers, bool isStarting, Core::TimePoint now);

    /// \brief Begins a pull from \a peer; false if another one is still open.
    bool beginPull(const std::string &peer, Core::TimePoint now);

    /// \brief Remembers that \a peer holds \a revision, for the time after the open pull.
    void noteNewer(const std::string &peer, std::uint64_t revision);

    /// \brief The peer remembered, if it holds more than \a revision; it is forgotten then.
    std::optional<std::string> takeNewer(std::uint64_t revision);

    /// \brief Lets an open pull from \a peer wait for its next part; false if it is not open.
    bool continuePull(const std::string &peer, Core::TimePoint now);

    /// \brief Ends the open pull, if it is from \a peer.
    void endPull(const std::string &peer);

    /// \brief Gives up an open pull whose deadline has passed, and makes an exchange due.
    void expirePull(Core::TimePoint now);

    /// \brief The moment at which something is due next.
    Core::TimePoint nextDeadline() const;

private:
    struct Pull
    {
        std::string peer;
        Core::TimePoint deadline;
    };

    SpreadPlanOptions m_options;
    RandomSource m_random;
    Core::TimePoint m_nextExchange;
    std::optional<Pull> m_pull;
    std::string m_newerPeer;
    std::uint64_t m_newerRevision = 0;
};

} // namespace Verbena::Decisions
