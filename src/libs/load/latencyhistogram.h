#pragma once

#include <boost/histogram.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace Verbena::Load {

/// \brief Counts spans from 1 microsecond to 1,000 seconds in logarithmic bins that are 2.3 % wide.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void record(std::chrono::nanoseconds span);
    void add(const LatencyHistogram &other);

    std::uint64_t count() const;

    /// \brief The middle of the bin that holds quantile \a q (0 to 1); 0 while nothing has been recorded.
    std::chrono::nanoseconds quantile(double q) const;

    /// \brief Lines for a terminal: one bar for every three bins of a decade that holds anything.
    std::string toText() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram m_histogram;
    std::uint64_t m_count = 0;
};

} // namespace Verbena::Load
