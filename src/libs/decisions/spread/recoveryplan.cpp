#include "recoveryplan.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

Core::Clock::duration fractionOf(std::chrono::milliseconds interval, double fraction)
{
    return std::chrono::duration_cast<Core::Clock::duration>(interval * fraction);
}

} // namespace

RecoveryPlan::RecoveryPlan(const RecoveryPlanOptions &options, std::uint64_t seed, Core::TimePoint start)
    : m_options(options)
    , m_random(seed)
{
    m_snapshotReadAt = start + options.peerTimeout + fractionOf(options.snapshotSpread, m_random.uniform());
}

void RecoveryPlan::handleProgress(Core::TimePoint now)
{
    if (m_snapshotReadAt.has_value()) {
        m_snapshotReadAt = std::max(*m_snapshotReadAt, now + m_options.peerTimeout);
    }
}

void RecoveryPlan::markRecovered()
{
    m_isRecovered = true;
    m_snapshotReadAt.reset();
    m_tableReadAt.reset();
}

void RecoveryPlan::markSnapshotStarted()
{
    m_snapshotReadAt.reset();
}

void RecoveryPlan::handleSnapshotFailure(bool isMissing, Core::TimePoint now)
{
    if (m_isRecovered) {
        return;
    }
    // The object store may recover later, or the table may answer earlier: both are tried until one of them succeeds.
    m_snapshotReadAt = now + m_options.snapshotSpread + fractionOf(m_options.snapshotSpread, m_random.uniform());
    if (!m_tableReadAt.has_value()) {
        m_tableReadAt = now + fractionOf(isMissing ? m_options.newTableSpread : m_options.tableSpread, m_random.uniform());
    }
}

bool RecoveryPlan::isRecovered() const
{
    return m_isRecovered;
}

std::optional<Core::TimePoint> RecoveryPlan::snapshotReadAt() const
{
    return m_snapshotReadAt;
}

std::optional<Core::TimePoint> RecoveryPlan::tableReadAt() const
{
    return m_tableReadAt;
}

} // namespace Verbena::Decisions
