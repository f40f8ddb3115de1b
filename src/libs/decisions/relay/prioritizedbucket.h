#pragma once

#include "usagebucket.h"
#include "usageclaim.h"
#include "usagereserve.h"

namespace Verbena::Decisions {

/// \brief A usage bucket that claims of different priorities share in the order of UsageReserve.
class PrioritizedBucket
{
public:
    /// \brief Creates a bucket that is empty at \a start and fills from then on.
    explicit PrioritizedBucket(Core::TimePoint start);

    /// \brief Consumes the cost of \a claim if there is \a required of it besides what is held for other priorities, or if the bucket is full. A claim
    /// without a priority leaves nothing for others.
    UsageVerdict tryConsume(const UsageClaim &claim, double required, const BucketSize &size, Core::TimePoint now);

    /// \brief Refunds \a cost.
    void refund(double cost);

    /// \brief Refunds \a cost after the bucket of \a size was refilled until \a now.
    void refund(double cost, const BucketSize &size, Core::TimePoint now);

private:
    bool isGranted(const UsageClaim &claim, double required, double level, const BucketSize &size) const;

    UsageBucket m_bucket;
    UsageReserve m_reserve;
};

} // namespace Verbena::Decisions
