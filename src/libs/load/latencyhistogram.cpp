#include "latencyhistogram.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Verbena::Load {

namespace {

constexpr int binsPerDecade = 100;
constexpr int decades = 9;
constexpr double lowestSeconds = 1e-6;
constexpr double highestSeconds = 1e3;
constexpr int binsPerBar = 20;

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(binsPerDecade * decades, lowestSeconds, highestSeconds)))
{
}

void LatencyHistogram::record(std::chrono::nanoseconds duration)
{
    m_histogram(std::max(lowestSeconds, std::chrono::duration<double>(duration).count()));
    ++m_count;
}

void LatencyHistogram::add(const LatencyHistogram &other)
{
    m_histogram += other.m_histogram;
    m_count += other.m_count;
}

std::uint64_t LatencyHistogram::count() const
{
    return m_count;
}

std::chrono::nanoseconds LatencyHistogram::quantile(double q) const
{
    if (m_count == 0) {
        return std::chrono::nanoseconds(0);
    }
    const Axis &axis = m_histogram.axis();
    const double rank = std::max(1.0, std::ceil(q * static_cast<double>(m_count)));
    double seen = 0;
    int bin = 0;
    while (bin < axis.size() && (seen += static_cast<double>(m_histogram.at(bin))) < rank) {
        ++bin;
    }
    const double seconds = bin == axis.size() ? highestSeconds : std::sqrt(axis.value(bin) * axis.value(bin + 1));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds));
}

std::string LatencyHistogram::toText() const
{
    constexpr double barWidth = 60;
    constexpr double millisecondsPerSecond = 1000;
    const Axis &axis = m_histogram.axis();
    std::vector<double> bars(static_cast<std::size_t>(axis.size() / binsPerBar));
    for (int bin = 0; bin < axis.size(); ++bin) {
        bars[static_cast<std::size_t>(bin / binsPerBar)] += static_cast<double>(m_histogram.at(bin));
    }
    const double highest = std::ranges::max(bars);
    std::ostringstream text;
    for (std::size_t i = 0; i < bars.size(); ++i) {
        if (bars[i] > 0) {
            const double edge = axis.value(static_cast<int>(i + 1) * binsPerBar) * millisecondsPerSecond;
            text << "  below " << std::setw(10) << std::fixed << std::setprecision(3) << edge << " ms " << std::setw(8) << static_cast<std::uint64_t>(bars[i])
                 << ' ' << std::string(static_cast<std::size_t>(std::ceil(bars[i] / highest * barWidth)), '#') << '\n';
        }
    }
    return text.str();
}

} // namespace Verbena::Load
