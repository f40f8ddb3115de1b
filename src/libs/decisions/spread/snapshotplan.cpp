#include "snapshotplan.h"

#include <algorithm>

namespace Verbena::Decisions {

SnapshotPlan::SnapshotPlan(const SnapshotPlanOptions &options, std::uint64_t seed, Core::TimePoint now)
    : m_options(options)
    , m_random(seed)
    , m_randomFactor(m_random.exponential())
    , m_lastAttemptAt(now)
{
}

void SnapshotPlan::setProcessCount(std::size_t count)
{
    m_processCount = std::max<std::size_t>(count, 1);
}

bool SnapshotPlan::beginAttempt(std::uint64_t revision, Core::TimePoint now)
{
    if (m_isAttempting || now < nextDeadline()) {
        return false;
    }
    m_lastAttemptAt = now;
    m_randomFactor = m_random.exponential();
    if (revision <= m_savedRevision) {
        return false;
    }
    m_isAttempting = true;
    m_attemptDeadline = now + m_options.attemptTimeout;
    return true;
}

void SnapshotPlan::endAttempt(std::uint64_t savedRevision, Core::TimePoint now)
{
    m_isAttempting = false;
    m_lastAttemptAt = now;
    m_savedRevision = std::max(m_savedRevision, savedRevision);
}

bool SnapshotPlan::expireAttempt(Core::TimePoint now)
{
    if (!m_isAttempting || now < m_attemptDeadline) {
        return false;
    }
    endAttempt(0, now);
    return true;
}

bool SnapshotPlan::isAttempting() const
{
    return m_isAttempting;
}

Core::TimePoint SnapshotPlan::nextDeadline() const
{
    if (m_isAttempting) {
        return m_attemptDeadline;
    }
    const std::chrono::duration<double> mean = m_options.interval * static_cast<double>(m_processCount);
    return m_lastAttemptAt + std::chrono::duration_cast<Core::Clock::duration>(mean * m_randomFactor);
}

} // namespace Verbena::Decisions
