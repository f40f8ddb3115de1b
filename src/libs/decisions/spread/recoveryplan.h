#pragma once

#include "randomsource.h"

#include <core/time.h>

#include <optional>

namespace Verbena::Decisions {

/// \brief How a starting process gets its first settings.
struct RecoveryPlanOptions
{
    std::chrono::milliseconds peerPatience{300}; ///< Peers alone are asked for this long.
    std::chrono::milliseconds snapshotSpread{2'000}; ///< Snapshot reads of a herd are spread over this span.
    std::chrono::milliseconds tableSpread{30'000}; ///< Reads of the whole table are spread over this span.
    std::chrono::milliseconds newTableSpread{3'000}; ///< The same where there has never been a snapshot, as the table is young.
};

/// \brief Decides when a starting process that has no settings yet reads the snapshot and the table.
///
/// Peers are asked at once and cost the platform nothing. Only a process without an answer from them turns to the object store, at a
/// moment drawn from the spread: 3,000 such processes make 1,500 reads a second. Only where there is no good snapshot either is
/// the whole table read.
class RecoveryPlan
{
public:
    RecoveryPlan(const RecoveryPlanOptions &options, std::uint64_t seed, Core::TimePoint start);

    /// \brief Notes that a peer answered at \a now and settings are on their way.
    void noteProgress(Core::TimePoint now);

    /// \brief Notes that the process has settings; nothing is left to do.
    void noteRecovered();

    /// \brief Notes that a read of the snapshot began.
    void noteSnapshotStarted();

    /// \brief Notes that there was no good snapshot; \a isMissing if the store said that there is none.
    void noteSnapshotFailed(bool isMissing, Core::TimePoint now);

    bool isRecovered() const;

    /// \brief When to read the snapshot; nothing if not at all.
    std::optional<Core::TimePoint> snapshotMoment() const;

    /// \brief From when on the table may be read from its beginning; nothing if not yet.
    std::optional<Core::TimePoint> tableMoment() const;

private:
    RecoveryPlanOptions m_options;
    RandomSource m_random;
    bool m_isRecovered = false;
    std::optional<Core::TimePoint> m_snapshotMoment;
    std::optional<Core::TimePoint> m_tableMoment;
};

} // namespace Verbena::Decisions
