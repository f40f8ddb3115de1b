#pragma once

#include "randomsource.h"

#include <core/time.h>

namespace Verbena::Decisions {

/// \brief How the table's change feed is polled by all processes together.
struct FeedPollerOptions
{
    double pollsPerSecond = 8; ///< Of all processes together.
    std::chrono::milliseconds minimumInterval{500}; ///< Between two polls of one process.
    std::chrono::milliseconds silenceLimit{20'000}; ///< A process that heard no peer for this long polls for itself.
    std::chrono::milliseconds silentInterval{10'000}; ///< Mean between the polls of such a process.
    std::chrono::milliseconds failureInterval{1'000}; ///< Least time to the next poll after one that failed.
};

/// \brief Decides when this process polls the table's change feed.
///
/// Each process polls at random moments, without memory, at its part of the common rate. Together they make a steady stream of
/// polls that no process leads and that no failure stops: with 8 polls a second a change waits longer than t with
/// probability exp(-8 t/s), 0.6 s at p99, whatever the number of processes.
class FeedPoller
{
public:
    FeedPoller(const FeedPollerOptions &options, std::uint64_t seed, Core::TimePoint now);

    /// \brief Takes the number of processes that poll together, as far as it is known.
    void setProcessCount(std::size_t count);

    /// \brief Notes that a peer was heard at \a now.
    void noteHeard(Core::TimePoint now);

    /// \brief Notes that a poll began at \a now; the next moment is drawn.
    void noteStarted(Core::TimePoint now);

    /// \brief Notes that a poll failed at \a now.
    void noteFailed(Core::TimePoint now);

    /// \brief Asks for a poll at \a moment at the latest, unless one begins before.
    void requestBy(Core::TimePoint moment);

    /// \brief The moment of the next poll as things stand.
    Core::TimePoint nextPoll() const;

private:
    Core::TimePoint drawnMoment(std::chrono::duration<double> mean) const;

    FeedPollerOptions m_options;
    RandomSource m_random;
    std::size_t m_processCount = 1;
    double m_draw; ///< Exponential with mean 1, to be multiplied with the mean that holds.
    Core::TimePoint m_since;
    Core::TimePoint m_heardAt;
    Core::TimePoint m_notBefore;
    Core::TimePoint m_requestedBy = Core::TimePoint::max();
};

} // namespace Verbena::Decisions
