#pragma once

#include "workload.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace Verbena::PolicyBench {

/// \brief What the requests that arrived within one span of time came to.
class Figures
{
public:
    void noteArrival(const Request &request);
    void noteRun(const Request &request, std::size_t cachedPieces, std::size_t wastedPieces);
    void noteFirstToken(const Request &request, Core::TimePoint now);
    void noteComplete(const Request &request, Core::TimePoint now);
    void noteNotRun();
    void noteMessages(std::size_t messages, std::size_t controlBytes);
    void noteQueues(double meanSeconds, double largestSeconds);

    /// \brief The figures of \a span on \a workers with a nominal \a capacity in requests per second.
    nlohmann::ordered_json toJson(std::chrono::duration<double> span, std::size_t workers, double capacity) const;

private:
    struct OfOrganisation
    {
        std::size_t arrived = 0;
        std::size_t inTime = 0;
        std::vector<double> firstTokens; ///< Milliseconds after arrival.
    };

    std::vector<OfOrganisation> m_organisations{Workload::shares().size()};
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
    std::vector<double> m_queueMeans; ///< Seconds of work.
    double m_largestQueue = 0;
};

} // namespace Verbena::PolicyBench
