#pragma once

#include <core/time.h>

namespace Verbena::Decisions {

/// \brief Fill rate and capacity of a token bucket.
struct BucketSize
{
    double perSecond = 0;
    double capacity = 0;
};

/// \brief A token bucket for the usage of an organisation.
class UsageBucket
{
public:
    /// \brief Creates a bucket that is empty at \a start and fills from then on.
    explicit UsageBucket(Core::TimePoint start);

    /// \brief Refills the bucket and returns its level at \a now; negative after more was consumed than was available.
    double level(const BucketSize &size, Core::TimePoint now);

    /// \brief Consumes \a cost at any level. A negative \a cost refunds.
    void consume(double cost);

private:
    double m_level = 0;
    Core::TimePoint m_refilledAt;
};

} // namespace Verbena::Decisions
