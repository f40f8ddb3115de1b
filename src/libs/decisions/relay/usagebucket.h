#pragma once

#include <core/time.h>

namespace Verbena::Decisions {

/// \brief How fast a bucket fills, and how much it holds.
struct BucketSize
{
    double perSecond = 0;
    double capacity = 0;
};

/// \brief A token bucket: what may be used now, of an allowance that grows with time.
class UsageBucket
{
public:
    /// \brief Empty at \a start, and filling since.
    explicit UsageBucket(Core::TimePoint start);

    /// \brief What may be used at \a now; below 0 after more was used than there was.
    double level(const BucketSize &size, Core::TimePoint now);

    /// \brief Uses \a cost, whatever the level is; below 0 gives back.
    void use(double cost);

private:
    double m_level = 0;
    Core::TimePoint m_filledAt;
};

} // namespace Verbena::Decisions
