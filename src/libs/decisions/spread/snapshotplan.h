#pragma once

#include "randomsource.h"

#include <core/time.h>

namespace Verbena::Decisions {

/// \brief How often the snapshot of the settings is written.
struct SnapshotPlanOptions
{
    std::chrono::milliseconds interval{60'000}; ///< Mean between two snapshots of all processes together.
    std::chrono::milliseconds patience{15'000}; ///< A process that does not get the lease by then leaves it to others.
};

/// \brief Decides when this process tries to write the snapshot.
///
/// Turns come at random, without memory, as those of FeedPoller do: no process is in charge, and the lease that a turn has to take
/// keeps two from writing at once.
class SnapshotPlan
{
public:
    SnapshotPlan(const SnapshotPlanOptions &options, std::uint64_t seed, Core::TimePoint now);

    /// \brief Takes the number of processes that share the turns, as far as it is known.
    void setProcessCount(std::size_t count);

    /// \brief Begins a turn that is due at \a now, if there is something newer to save than this process saved before.
    bool beginTurn(std::uint64_t revision, Core::TimePoint now);

    /// \brief Ends the turn; \a savedRevision is 0 if nothing was saved.
    void endTurn(std::uint64_t savedRevision, Core::TimePoint now);

    /// \brief Ends a turn whose patience is used up; false if there is none.
    bool expireTurn(Core::TimePoint now);

    bool isInTurn() const;

    /// \brief When the next turn begins, or the present one has to end.
    Core::TimePoint nextDeadline() const;

private:
    SnapshotPlanOptions m_options;
    RandomSource m_random;
    std::size_t m_processCount = 1;
    double m_draw; ///< Exponential with mean 1, to be multiplied with the mean that holds.
    Core::TimePoint m_since;
    Core::TimePoint m_turnDeadline;
    bool m_isInTurn = false;
    std::uint64_t m_savedRevision = 0;
};

} // namespace Verbena::Decisions
