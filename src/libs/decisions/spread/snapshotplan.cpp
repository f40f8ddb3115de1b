#include "snapshotplan.h"

#include <algorithm>

namespace Verbena::Decisions {

SnapshotPlan::SnapshotPlan(const SnapshotPlanOptions &options, std::uint64_t seed, Core::TimePoint now)
    : m_options(options)
    , m_random(seed)
    , m_draw(m_random.exponential())
    , m_since(now)
{
}

void SnapshotPlan::setProcessCount(std::size_t count)
{
    m_processCount = std::max<std::size_t>(count, 1);
}

bool SnapshotPlan::beginTurn(std::uint64_t revision, Core::TimePoint now)
{
    if (m_isInTurn || now < nextDeadline()) {
        return false;
    }
    m_since = now;
    m_draw = m_random.exponential();
    if (revision <= m_savedRevision) {
        return false;
    }
    m_isInTurn = true;
    m_turnDeadline = now + m_options.patience;
    return true;
}

void SnapshotPlan::endTurn(std::uint64_t savedRevision, Core::TimePoint now)
{
    m_isInTurn = false;
    m_since = now;
    m_savedRevision = std::max(m_savedRevision, savedRevision);
}

bool SnapshotPlan::expireTurn(Core::TimePoint now)
{
    if (!m_isInTurn || now < m_turnDeadline) {
        return false;
    }
    endTurn(0, now);
    return true;
}

bool SnapshotPlan::isInTurn() const
{
    return m_isInTurn;
}

Core::TimePoint SnapshotPlan::nextDeadline() const
{
    if (m_isInTurn) {
        return m_turnDeadline;
    }
    const std::chrono::duration<double> mean = m_options.interval * static_cast<double>(m_processCount);
    return m_since + std::chrono::duration_cast<Core::Clock::duration>(mean * m_draw);
}

} // namespace Verbena::Decisions
