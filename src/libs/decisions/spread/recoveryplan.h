#pragma once

#include "randomsource.h"

#include <core/time.h>

#include <optional>

namespace Verbena::Decisions {

/// \brief Options of a RecoveryPlan.
struct RecoveryPlanOptions
{
    std::chrono::milliseconds peerTimeout{300}; ///< Time in which only peers are asked.
    std::chrono::milliseconds snapshotSpread{2'000}; ///< Interval over which the snapshot reads of many starting processes are spread.
    std::chrono::milliseconds tableSpread{30'000}; ///< Interval over which reads of the whole table are spread.
    std::chrono::milliseconds newTableSpread{3'000}; ///< The same interval if no snapshot exists, as the table is new then.
};

/// \brief Schedule by which a starting process without settings reads the snapshot and the table.
///
/// Peers are asked immediately, as this does not load the platform. Only a process that gets no answer from them reads the snapshot from the
/// object store, at a random time within snapshotSpread: 3,000 such processes make 1,500 reads a second. Only if there is no valid snapshot
/// either does it read the whole table.
class RecoveryPlan
{
public:
    RecoveryPlan(const RecoveryPlanOptions &options, std::uint64_t seed, Core::TimePoint start);

    /// \brief Delays the read of the snapshot, as a peer answered at \a now and settings will follow.
    void handleProgress(Core::TimePoint now);

    /// \brief Marks the process as recovered: it has settings, and no reads are needed any more.
    void markRecovered();

    /// \brief Marks the read of the snapshot as started.
    void markSnapshotStarted();

    /// \brief Schedules further reads after there was no valid snapshot at \a now.
    ///
    /// \a isMissing is set if the object store reported that none exists.
    void handleSnapshotFailure(bool isMissing, Core::TimePoint now);

    /// \brief Returns whether the process has settings.
    bool isRecovered() const;

    /// \brief Returns when to read the snapshot, or nothing if it need not be read.
    std::optional<Core::TimePoint> snapshotReadAt() const;

    /// \brief Returns from when on the table may be read from its beginning, or nothing if it must not be read yet.
    std::optional<Core::TimePoint> tableReadAt() const;

private:
    RecoveryPlanOptions m_options;
    RandomSource m_random;
    bool m_isRecovered = false;
    std::optional<Core::TimePoint> m_snapshotReadAt;
    std::optional<Core::TimePoint> m_tableReadAt;
};

} // namespace Verbena::Decisions
