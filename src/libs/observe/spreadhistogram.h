#pragma once

#include <boost/histogram.hpp>

#include <cstdint>
#include <string>

namespace Verbena::Observe {

/// \brief Where the bins of a histogram lie: a number of equal steps on a logarithmic axis for each power of ten.
struct BinLayout
{
    double lowest;
    int decades;
};

/// \brief Spans in seconds, from 10 microseconds to 1,000 seconds.
inline constexpr BinLayout spanBins{1e-5, 8};

/// \brief Amounts such as tokens or bytes, from 1 to a thousand million.
inline constexpr BinLayout amountBins{1.0, 9};

/// \brief A histogram with logarithmic bins, which costs about a kilobyte however much it counts.
class SpreadHistogram
{
public:
    explicit SpreadHistogram(const BinLayout &bins);

    void record(double value);

    /// \brief Adds all of \a other, which must have the same bins.
    void add(const SpreadHistogram &other);

    std::uint64_t count() const;
    double sum() const;

    /// \brief The upper edge of the bin that holds quantile \a q (0 to 1); 0 while nothing has been recorded.
    double quantile(double q) const;

    /// \brief Appends the lines of one Prometheus histogram: three buckets for each power of ten, sum and count.
    void appendPrometheus(std::string &text, const std::string &name, const std::string &labels) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0.0;
};

} // namespace Verbena::Observe
