#pragma once

#include "answerchecker.h"
#include "latencyhistogram.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Verbena::Load {

/// \brief Counts and spans of one organisation, or of all.
struct LoadTally
{
    std::uint64_t sent = 0;
    std::array<std::uint64_t, 9> outcomes{}; ///< By Outcome.
    TokenUsage usage;
    LatencyHistogram firstToken; ///< From sending a streamed request to its first token.
    LatencyHistogram betweenTokens;
    LatencyHistogram wholeAnswer; ///< From sending a request to the end of a whole answer.

    std::uint64_t count(Outcome outcome) const;
    void add(const LoadTally &other);
};

/// \brief What was measured in one run of the load.
class LoadReport
{
public:
    explicit LoadReport(std::vector<std::string> organisations);

    LoadTally &tally(std::size_t organisation);
    LoadTally total() const;

    /// \brief Notes that \a count requests ran more often than they may.
    void addDoubledRuns(std::uint64_t count);

    /// \brief Notes that \a count requests had run though their callers were told that they had not.
    void addFalseNotRuns(std::uint64_t count);

    /// \brief Notes how late a request was sent after its moment had come.
    void recordLateness(std::chrono::nanoseconds span);

    /// \brief Keeps \a explanation as an example of \a outcome, unless there are enough already.
    void addExample(Outcome outcome, const std::string &explanation);

    /// \brief True if nothing was lost, broken, crossed, doubled or untruly called not run.
    bool isClean() const;

    std::string toJson() const;

    /// \brief Counts, hit rate and histograms for a terminal.
    std::string toText() const;

private:
    std::vector<std::string> m_organisations;
    std::vector<LoadTally> m_tallies;
    std::uint64_t m_doubledRuns = 0;
    std::uint64_t m_falseNotRuns = 0;
    LatencyHistogram m_lateness;
    std::map<Outcome, std::vector<std::string>> m_examples;
};

} // namespace Verbena::Load
