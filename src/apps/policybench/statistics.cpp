#include "statistics.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Verbena::PolicyBench {

namespace {

// Rounds \a value to three decimals, so that the printed text is the same on all platforms.
double rounded(double value)
{
    return std::round(value * 1000) / 1000;
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(std::ceil(q * static_cast<double>(values.size())) - 1);
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return rounded(values[static_cast<std::size_t>(rank)]);
}

double ratio(double part, double whole)
{
    return whole == 0 ? 0 : rounded(part / whole);
}

} // namespace

void Statistics::recordArrival(const Request &request)
{
    ++m_arrived;
    ++m_organisations[request.organisation].arrived;
}

void Statistics::recordRun(const Request &request, std::size_t cachedPieces, std::size_t wastedPieces)
{
    ++m_runs;
    m_pieces += request.keys.size();
    m_cached += cachedPieces;
    m_wasted += wastedPieces;
}

void Statistics::recordFirstToken(const Request &request, Core::TimePoint now)
{
    const double duration = std::chrono::duration<double, std::milli>(now - request.arrival).count();
    m_firstTokens.push_back(duration);
    m_organisations[request.organisation].firstTokens.push_back(duration);
}

void Statistics::recordCompletion(const Request &request, Core::TimePoint now)
{
    if (now <= request.deadline) {
        ++m_inTime;
        ++m_organisations[request.organisation].completedInTime;
    }
}

void Statistics::recordNotRun()
{
    ++m_notRun;
}

void Statistics::recordMessages(std::size_t messages, std::size_t controlBytes)
{
    m_messages += messages;
    m_controlBytes += controlBytes;
}

void Statistics::recordQueues(double meanSeconds, double largestSeconds)
{
    m_queueMeans.push_back(meanSeconds);
    m_largestQueue = std::max(m_largestQueue, largestSeconds);
}

nlohmann::ordered_json Statistics::toJson(std::chrono::duration<double> duration, std::size_t workers, double capacity) const
{
    const auto count = [](std::size_t value) {
        return static_cast<double>(value);
    };
    nlohmann::ordered_json json;
    json["requests"] = m_arrived;
    json["prefix_hit_rate"] = ratio(count(m_cached), count(m_pieces));
    json["ttft_p50_ms"] = quantile(m_firstTokens, 0.5);
    json["ttft_p99_ms"] = quantile(m_firstTokens, 0.99);
    json["wasted_tokens_per_request"] = ratio(count(m_wasted) * Deployment::pieceTokens, count(m_runs));
    json["goodput"] = rounded(count(m_inTime) / duration.count());
    json["goodput_of_nominal_capacity"] = rounded(count(m_inTime) / duration.count() / capacity);
    json["not_run"] = ratio(count(m_notRun), count(m_arrived));
    json["messages_per_request"] = ratio(count(m_messages), count(m_arrived));
    json["control_bytes_per_node_s"] = rounded(count(m_controlBytes) / count(workers) / duration.count());
    const double queueSum = std::accumulate(m_queueMeans.begin(), m_queueMeans.end(), 0.0);
    json["mean_queue_s"] = ratio(queueSum, count(m_queueMeans.size()));
    json["largest_queue_s"] = rounded(m_largestQueue);
    for (std::size_t i = 0; i < m_organisations.size(); ++i) {
        const OrganisationStatistics &each = m_organisations[i];
        json["organisations"].push_back({{"assigned", Workload::shares()[i]},
            {"asked", rounded(count(each.arrived) / duration.count() / capacity)},
            {"got", ratio(count(each.completedInTime), count(m_inTime))},
            {"served", ratio(count(each.completedInTime), count(each.arrived))},
            {"ttft_p99_ms", quantile(each.firstTokens, 0.99)}});
    }
    return json;
}

} // namespace Verbena::PolicyBench
