#include "logarithmichistogram.h"

#include "prometheustext.h"

#include <cmath>

namespace Verbena::Observe {

namespace {

// Twelve bins per decade limit the error of a quantile to 21 %. Only every fourth edge is exported, which keeps the metrics page short with many tenants.
constexpr int binsPerDecade = 12;
constexpr int binsPerBucket = 4;

} // namespace

LogarithmicHistogram::LogarithmicHistogram(const BinLayout &bins)
    : m_histogram(
        boost::histogram::make_histogram(Axis(static_cast<unsigned>(bins.decades * binsPerDecade), bins.lowest, bins.lowest * std::pow(10.0, bins.decades))))
{
}

void LogarithmicHistogram::record(double value)
{
    m_histogram(value);
    ++m_count;
    m_sum += value;
}

void LogarithmicHistogram::add(const LogarithmicHistogram &other)
{
    m_histogram += other.m_histogram;
    m_count += other.m_count;
    m_sum += other.m_sum;
}

std::uint64_t LogarithmicHistogram::count() const
{
    return m_count;
}

double LogarithmicHistogram::sum() const
{
    return m_sum;
}

double LogarithmicHistogram::quantile(double q) const
{
    if (m_count == 0) {
        return 0.0;
    }
    const Axis &axis = m_histogram.axis();
    const double rank = std::max(1.0, std::ceil(q * static_cast<double>(m_count)));
    double cumulative = 0.0;
    for (int bin = -1; bin < axis.size(); ++bin) {
        cumulative += static_cast<double>(m_histogram.at(bin));
        if (cumulative >= rank) {
            return axis.value(bin + 1);
        }
    }
    return axis.value(axis.size());
}

void LogarithmicHistogram::appendPrometheus(std::string &text, const std::string &name, const std::string &labels) const
{
    const Axis &axis = m_histogram.axis();
    const std::string separator = labels.empty() ? "" : ",";
    const auto appendBucket = [&](const std::string &edge, std::uint64_t value) {
        text += name + "_bucket{" + labels + separator + "le=\"" + edge + "\"} " + std::to_string(value) + '\n';
    };
    std::uint64_t cumulative = 0;
    for (int bin = -1; bin < axis.size(); ++bin) {
        cumulative += static_cast<std::uint64_t>(m_histogram.at(bin));
        if ((bin + 1) % binsPerBucket == 0) {
            appendBucket(prometheusNumber(axis.value(bin + 1)), cumulative);
        }
    }
    appendBucket("+Inf", m_count);
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    text += name + "_sum" + braces + ' ' + prometheusNumber(m_sum) + '\n';
    text += name + "_count" + braces + ' ' + std::to_string(m_count) + '\n';
}

} // namespace Verbena::Observe
