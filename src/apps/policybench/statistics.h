#pragma once

#include "workload.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace Verbena::PolicyBench {

/// \brief Statistics of the requests that arrived within one period.
class Statistics
{
public:
    /// \brief Records that \a request arrived.
    void recordArrival(const Request &request);
    /// \brief Records a run with \a cachedPieces cached pieces that recomputes \a wastedPieces pieces.
    void recordRun(const Request &request, std::size_t cachedPieces, std::size_t wastedPieces);
    void recordFirstToken(const Request &request, Core::TimePoint now);
    void recordCompletion(const Request &request, Core::TimePoint now);
    void recordNotRun();
    void recordMessages(std::size_t messages, std::size_t controlBytes);
    /// \brief Records a sample of the queues' mean and maximum lengths, in seconds of work.
    void recordQueues(double meanSeconds, double largestSeconds);

    /// \brief Returns the statistics of a period \a duration on \a workers backend servers with a nominal \a capacity in requests per second.
    nlohmann::ordered_json toJson(std::chrono::duration<double> duration, std::size_t workers, double capacity) const;

private:
    struct OrganisationStatistics
    {
        std::size_t arrived = 0;
        std::size_t completedInTime = 0;
        std::vector<double> firstTokens; ///< Times to the first token, in milliseconds after arrival.
    };

    std::vector<OrganisationStatistics> m_organisations{Workload::shares().size()};
    std::vector<double> m_firstTokens;
    std::size_t m_arrived = 0;
    std::size_t m_runs = 0;
    std::size_t m_pieces = 0;
    std::size_t m_cached = 0;
    std::size_t m_wasted = 0;
    std::size_t m_inTime = 0;
    std::size_t m_notRun = 0;
    std::size_t m_messages = 0;
    std::size_t m_controlBytes = 0;
    std::vector<double> m_queueMeans; ///< Mean queue lengths, in seconds of work.
    double m_largestQueue = 0;
};

} // namespace Verbena::PolicyBench
