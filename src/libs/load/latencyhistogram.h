#pragma once

#include <boost/histogram.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace Verbena::Load {

/// \brief Histogram of durations from 1 microsecond to 1,000 seconds, with logarithmic bins that are 2.3 % wide.
class LatencyHistogram
{
public:
    LatencyHistogram();

    /// \brief Records \a duration; durations below 1 microsecond count as 1 microsecond.
    void record(std::chrono::nanoseconds duration);
    /// \brief Adds the counts of \a other.
    void add(const LatencyHistogram &other);

    std::uint64_t count() const;

    /// \brief Returns the middle of the bin that contains quantile \a q (0 to 1); 0 if nothing has been recorded.
    std::chrono::nanoseconds quantile(double q) const;

    /// \brief Returns text for a terminal with one bar for each fifth of a decade (20 bins) that has entries.
    std::string toText() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram m_histogram;
    std::uint64_t m_count = 0;
};

} // namespace Verbena::Load
