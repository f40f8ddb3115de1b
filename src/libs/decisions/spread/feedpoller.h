#pragma once

#include "randomsource.h"

#include <core/time.h>

namespace Verbena::Decisions {

/// \brief Options of a FeedPoller.
struct FeedPollerOptions
{
    double pollsPerSecond = 8; ///< Common rate of all processes.
    std::chrono::milliseconds minimumInterval{500}; ///< Minimum interval between two polls of one process.
    std::chrono::milliseconds silenceLimit{20'000}; ///< Time without a message from a peer after which a process polls on its own.
    std::chrono::milliseconds silentInterval{10'000}; ///< Mean interval between the polls of such a process.
    std::chrono::milliseconds failureInterval{1'000}; ///< Minimum time between a failed poll and the next one.
};

/// \brief Schedule for the polls of a table's change feed by one process.
///
/// Each process polls as a Poisson process at its fraction of the common rate. Together they make a steady stream of polls that needs no
/// leader and that no single failure stops. With 8 polls a second, a change waits longer than t with probability exp(-8 t/s), which is
/// 0.6 s at p99, regardless of the number of processes.
class FeedPoller
{
public:
    FeedPoller(const FeedPollerOptions &options, std::uint64_t seed, Core::TimePoint now);

    /// \brief Sets the assumed number of processes that share the common rate.
    void setProcessCount(std::size_t count);

    /// \brief Records that a message from a peer arrived at \a now.
    void recordPeerMessage(Core::TimePoint now);

    /// \brief Records that a poll started at \a now and chooses a random time for the next one.
    void markStarted(Core::TimePoint now);

    /// \brief Delays the next poll after one that failed at \a now.
    void handleFailure(Core::TimePoint now);

    /// \brief Requests a poll at \a latest or earlier; the start of any poll fulfils the request.
    void requestPollBy(Core::TimePoint latest);

    /// \brief Returns the time of the next poll, which later calls may change.
    Core::TimePoint nextPoll() const;

private:
    Core::TimePoint randomTime(std::chrono::duration<double> mean) const;

    FeedPollerOptions m_options;
    RandomSource m_random;
    std::size_t m_processCount = 1;
    double m_randomFactor; ///< Exponentially distributed with mean 1; multiplied by the current mean interval.
    Core::TimePoint m_lastPollAt; ///< Start of the last poll, or creation of the poller.
    Core::TimePoint m_lastPeerMessageAt;
    Core::TimePoint m_notBefore;
    Core::TimePoint m_requestedPollBy = Core::TimePoint::max();
};

} // namespace Verbena::Decisions
