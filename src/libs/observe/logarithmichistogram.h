#pragma once

#include <boost/histogram.hpp>

#include <cstdint>
#include <string>

namespace Verbena::Observe {

/// \brief The range of a histogram. Each power of ten is divided into the same number of bins of equal width on a logarithmic axis.
struct BinLayout
{
    double lowest; ///< Lower edge of the first bin.
    int decades; ///< Number of powers of ten.
};

/// \brief Bins for durations in seconds, from 10 microseconds to 1,000 seconds.
inline constexpr BinLayout durationBins{1e-5, 8};

/// \brief Bins for amounts such as tokens or bytes, from 1 to 10^9.
inline constexpr BinLayout amountBins{1.0, 9};

/// \brief A histogram with logarithmic bins. It uses about a kilobyte, regardless of the number of recorded values.
class LogarithmicHistogram
{
public:
    explicit LogarithmicHistogram(const BinLayout &bins);

    void record(double value);

    /// \brief Adds all values of \a other, which must have the same bins.
    void add(const LogarithmicHistogram &other);

    std::uint64_t count() const;
    double sum() const;

    /// \brief Returns the upper edge of the bin that contains quantile \a q (0 to 1), or 0 if nothing was recorded.
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
