#include "spreadhistogram.h"

#include "prometheustext.h"

#include <cmath>

namespace Verbena::Observe {

namespace {

// Twelve bins a decade keep a quantile within 21 %; every fourth edge goes to Prometheus, which keeps a page of many tenants short.
constexpr int binsPerDecade = 12;
constexpr int binsPerBucket = 4;

} // namespace

SpreadHistogram::SpreadHistogram(const BinLayout &bins)
    : m_histogram(
        boost::histogram::make_histogram(Axis(static_cast<unsigned>(bins.decades * binsPerDecade), bins.lowest, bins.lowest * std::pow(10.0, bins.decades))))
{
}

void SpreadHistogram::record(double value)
{
    m_histogram(value);
    ++m_count;
    m_sum += value;
}

void SpreadHistogram::add(const SpreadHistogram &other)
{
    m_histogram += other.m_histogram;
    m_count += other.m_count;
    m_sum += other.m_sum;
}

std::uint64_t SpreadHistogram::count() const
{
    return m_count;
}

double SpreadHistogram::sum() const
{
    return m_sum;
}

double SpreadHistogram::quantile(double q) const
{
    if (m_count == 0) {
        return 0.0;
    }
    const Axis &axis = m_histogram.axis();
    const double rank = std::max(1.0, std::ceil(q * static_cast<double>(m_count)));
    double seen = 0.0;
    for (int bin = -1; bin < axis.size(); ++bin) {
        seen += static_cast<double>(m_histogram.at(bin));
        if (seen >= rank) {
            return axis.value(bin + 1);
        }
    }
    return axis.value(axis.size());
}

void SpreadHistogram::appendPrometheus(std::string &text, const std::string &name, const std::string &labels) const
{
    const Axis &axis = m_histogram.axis();
    const std::string separator = labels.empty() ? "" : ",";
    const auto appendBucket = [&](const std::string &edge, std::uint64_t value) {
        text += name + "_bucket{" + labels + separator + "le=\"" + edge + "\"} " + std::to_string(value) + '\n';
    };
    std::uint64_t seen = 0;
    for (int bin = -1; bin < axis.size(); ++bin) {
        seen += static_cast<std::uint64_t>(m_histogram.at(bin));
        if ((bin + 1) % binsPerBucket == 0) {
            appendBucket(prometheusNumber(axis.value(bin + 1)), seen);
        }
    }
    appendBucket("+Inf", m_count);
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    text += name + "_sum" + braces + ' ' + prometheusNumber(m_sum) + '\n';
    text += name + "_count" + braces + ' ' + std::to_string(m_count) + '\n';
}

} // namespace Verbena::Observe
