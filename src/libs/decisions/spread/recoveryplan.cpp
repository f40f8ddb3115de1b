#include "recoveryplan.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

Core::Clock::duration partOf(std::chrono::milliseconds span, double part)
{
    return std::chrono::duration_cast<Core::Clock::duration>(span * part);
}

} // namespace

RecoveryPlan::RecoveryPlan(const RecoveryPlanOptions &options, std::uint64_t seed, Core::TimePoint start)
    : m_options(options)
    , m_random(seed)
{
    m_snapshotMoment = start + options.peerPatience + partOf(options.snapshotSpread, m_random.uniform());
}

void RecoveryPlan::noteProgress(Core::TimePoint now)
{
    if (m_snapshotMoment.has_value()) {
        m_snapshotMoment = std::max(*m_snapshotMoment, now + m_options.peerPatience);
    }
}

void RecoveryPlan::noteRecovered()
{
    m_isRecovered = true;
    m_snapshotMoment.reset();
    m_tableMoment.reset();
}

void RecoveryPlan::noteSnapshotStarted()
{
    m_snapshotMoment.reset();
}

void RecoveryPlan::noteSnapshotFailed(bool isMissing, Core::TimePoint now)
{
    if (m_isRecovered) {
        return;
    }
    // The object store may be back later, and the table may answer before: both are tried until one does.
    m_snapshotMoment = now + m_options.snapshotSpread + partOf(m_options.snapshotSpread, m_random.uniform());
    if (!m_tableMoment.has_value()) {
        m_tableMoment = now + partOf(isMissing ? m_options.newTableSpread : m_options.tableSpread, m_random.uniform());
    }
}

bool RecoveryPlan::isRecovered() const
{
    return m_isRecovered;
}

std::optional<Core::TimePoint> RecoveryPlan::snapshotMoment() const
{
    return m_snapshotMoment;
}

std::optional<Core::TimePoint> RecoveryPlan::tableMoment() const
{
    return m_tableMoment;
}

} // namespace Verbena::Decisions
