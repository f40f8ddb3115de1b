#include "prioritizedbucket.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Covers the rounding of levels, so that a claim is granted at the very time that was named to its caller.
constexpr double roundingTolerance = 1e-6;

std::uint32_t boundedPriority(std::uint32_t priority)
{
    return std::min(priority, leastUrgentPriority);
}

} // namespace

PrioritizedBucket::PrioritizedBucket(Core::TimePoint start)
    : m_bucket(start)
{
}

// A full bucket has nothing to gain from waiting; without this a claim that is larger than what is not held for others would be refused for good.
bool PrioritizedBucket::isGranted(const UsageClaim &claim, double required, double level, const BucketSize &size) const
{
    const double available = level + roundingTolerance;
    if (available < required) {
        return false;
    }
    if (!claim.priority.has_value() || available >= size.capacity) {
        return true;
    }
    const std::uint32_t priority = boundedPriority(*claim.priority);
    return available >= required + m_reserve.held(priority, size) || m_reserve.owed(priority) + roundingTolerance >= required;
}

UsageVerdict PrioritizedBucket::tryConsume(const UsageClaim &claim, double required, const BucketSize &size, Core::TimePoint now)
{
    const double level = m_bucket.level(size, now);
    const std::optional<std::uint32_t> priority = claim.priority.has_value() ? std::optional(boundedPriority(*claim.priority)) : std::nullopt;
    if (priority.has_value()) {
        m_reserve.recordClaim(*priority, required, size, now);
    }
    if (!isGranted(claim, required, level, size)) {
        return {false, priority.has_value() ? m_reserve.recordRefusal(*priority, required, level, size, now) : timeToFill(required - level, size.perSecond)};
    }
    m_bucket.consume(claim.cost);
    if (priority.has_value()) {
        m_reserve.recordGrant(*priority, required);
    }
    return {true, {}};
}

void PrioritizedBucket::refund(double cost)
{
    m_bucket.consume(-cost);
}

void PrioritizedBucket::refund(double cost, const BucketSize &size, Core::TimePoint now)
{
    m_bucket.level(size, now);
    m_bucket.consume(-cost);
}

} // namespace Verbena::Decisions
