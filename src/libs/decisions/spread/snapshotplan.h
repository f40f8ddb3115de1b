#pragma once

#include "randomsource.h"

#include <core/time.h>

namespace Verbena::Decisions {

/// \brief Options of a SnapshotPlan.
struct SnapshotPlanOptions
{
    std::chrono::milliseconds interval{60'000}; ///< Mean interval between two snapshots of all processes together.
    std::chrono::milliseconds attemptTimeout{15'000}; ///< Time after which a process that did not acquire the lease leaves the snapshot to others.
};

/// \brief Schedule by which one process tries to write the snapshot of the settings.
///
/// As with FeedPoller, the attempts of each process are a Poisson process, so no process is in charge. Each attempt has to acquire a lease,
/// which prevents two processes from writing at the same time.
class SnapshotPlan
{
public:
    SnapshotPlan(const SnapshotPlanOptions &options, std::uint64_t seed, Core::TimePoint now);

    /// \brief Sets the assumed number of processes that share the work.
    void setProcessCount(std::size_t count);

    /// \brief Begins an attempt if one is due at \a now and \a revision is newer than what this process saved last.
    ///
    /// Returns whether an attempt began.
    bool beginAttempt(std::uint64_t revision, Core::TimePoint now);

    /// \brief Ends the attempt; \a savedRevision is 0 if nothing was saved.
    void endAttempt(std::uint64_t savedRevision, Core::TimePoint now);

    /// \brief Ends an attempt that timed out at \a now; returns false if there is none.
    bool expireAttempt(Core::TimePoint now);

    /// \brief Returns whether an attempt is in progress.
    bool isAttempting() const;

    /// \brief Returns when the next attempt begins, or when the current one times out.
    Core::TimePoint nextDeadline() const;

private:
    SnapshotPlanOptions m_options;
    RandomSource m_random;
    std::size_t m_processCount = 1;
    double m_randomFactor; ///< Exponentially distributed with mean 1; multiplied by the current mean interval.
    Core::TimePoint m_lastAttemptAt; ///< Start or end of the last attempt, whichever is later, or creation of the plan.
    Core::TimePoint m_attemptDeadline;
    bool m_isAttempting = false;
    std::uint64_t m_savedRevision = 0;
};

} // namespace Verbena::Decisions
