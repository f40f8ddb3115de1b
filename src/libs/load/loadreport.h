#pragma once

#include "answerchecker.h"
#include "latencyhistogram.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Verbena::Load {

/// \brief Counts and latencies of one organisation or of all organisations.
struct LoadTally
{
    std::uint64_t sent = 0;
    std::array<std::uint64_t, 9> outcomes{}; ///< Number of requests by Outcome.
    TokenUsage usage;
    LatencyHistogram firstToken; ///< Time from sending a request to its first streamed token.
    LatencyHistogram betweenTokens; ///< Time between tokens of a streamed answer.
    LatencyHistogram completeAnswer; ///< Time from sending a request to the end of its answer, for complete answers.

    std::uint64_t count(Outcome outcome) const;
    void add(const LoadTally &other);
};

/// \brief Results of one load run.
class LoadReport
{
public:
    explicit LoadReport(std::vector<std::string> organisations);

    LoadTally &tally(std::size_t organisation);
    LoadTally total() const;

    /// \brief Adds \a count requests that ran more often than allowed.
    void addDuplicateRuns(std::uint64_t count);

    /// \brief Adds \a count requests that ran although they were reported as not run.
    void addFalseNotRuns(std::uint64_t count);

    /// \brief Records the delay between the scheduled and the actual time of sending a request.
    void recordLateness(std::chrono::nanoseconds duration);

    /// \brief Stores \a explanation as an example of \a outcome, up to three for each outcome.
    void addExample(Outcome outcome, const std::string &explanation);

    /// \brief Returns whether no answer was lost, corrupted, misdelivered or duplicated and no request ran twice or was falsely reported as not run.
    bool isClean() const;

    /// \brief Returns the report as a JSON object.
    std::string toJson() const;

    /// \brief Returns counts, hit rate and histograms as text for a terminal.
    std::string toText() const;

private:
    std::vector<std::string> m_organisations;
    std::vector<LoadTally> m_tallies;
    std::uint64_t m_duplicateRuns = 0;
    std::uint64_t m_falseNotRuns = 0;
    LatencyHistogram m_lateness;
    std::map<Outcome, std::vector<std::string>> m_examples;
};

} // namespace Verbena::Load
