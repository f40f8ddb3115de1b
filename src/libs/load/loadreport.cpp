#include "loadreport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace Verbena::Load {

namespace {

using nlohmann::ordered_json;

struct NamedOutcome
{
    Outcome outcome;
    const char *name;
};

constexpr std::array<NamedOutcome, 9> namedOutcomes{{
    {Outcome::Complete, "whole"},
    {Outcome::Corrupted, "broken"},
    {Outcome::Misdelivered, "crossed"},
    {Outcome::Duplicated, "doubled"},
    {Outcome::Lost, "lost"},
    {Outcome::NotRun, "not_run"},
    {Outcome::Unknown, "unknown"},
    {Outcome::Failed, "failed"},
    {Outcome::Unreachable, "unreachable"},
}};

constexpr std::size_t maximumExamples = 3;

const char *nameOf(Outcome outcome)
{
    return std::ranges::find(namedOutcomes, outcome, &NamedOutcome::outcome)->name;
}

double milliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

ordered_json jsonOf(const LatencyHistogram &histogram)
{
    return {{"count", histogram.count()},
        {"p50", milliseconds(histogram.quantile(0.5))},
        {"p95", milliseconds(histogram.quantile(0.95))},
        {"p99", milliseconds(histogram.quantile(0.99))},
        {"p99.9", milliseconds(histogram.quantile(0.999))}};
}

double hitRate(const TokenUsage &usage)
{
    return usage.promptTokens == 0 ? 0 : static_cast<double>(usage.cachedTokens) / static_cast<double>(usage.promptTokens);
}

ordered_json jsonOf(const LoadTally &tally)
{
    ordered_json json{{"sent", tally.sent}};
    for (const NamedOutcome &named : namedOutcomes) {
        json[named.name] = tally.count(named.outcome);
    }
    json["prompt_tokens"] = tally.usage.promptTokens;
    json["cached_tokens"] = tally.usage.cachedTokens;
    json["hit_rate"] = hitRate(tally.usage);
    json["time_to_first_token_ms"] = jsonOf(tally.firstToken);
    json["between_tokens_ms"] = jsonOf(tally.betweenTokens);
    json["whole_answer_ms"] = jsonOf(tally.completeAnswer);
    return json;
}

} // namespace

std::uint64_t LoadTally::count(Outcome outcome) const
{
    return outcomes[static_cast<std::size_t>(outcome)];
}

void LoadTally::add(const LoadTally &other)
{
    sent += other.sent;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        outcomes[i] += other.outcomes[i];
    }
    usage.promptTokens += other.usage.promptTokens;
    usage.cachedTokens += other.usage.cachedTokens;
    firstToken.add(other.firstToken);
    betweenTokens.add(other.betweenTokens);
    completeAnswer.add(other.completeAnswer);
}

LoadReport::LoadReport(std::vector<std::string> organisations)
    : m_organisations(std::move(organisations))
    , m_tallies(m_organisations.size())
{
}

LoadTally &LoadReport::tally(std::size_t organisation)
{
    return m_tallies[organisation];
}

LoadTally LoadReport::total() const
{
    LoadTally sum;
    for (const LoadTally &tally : m_tallies) {
        sum.add(tally);
    }
    return sum;
}

void LoadReport::addDuplicateRuns(std::uint64_t count)
{
    m_duplicateRuns += count;
}

void LoadReport::addFalseNotRuns(std::uint64_t count)
{
    m_falseNotRuns += count;
}

void LoadReport::recordLateness(std::chrono::nanoseconds duration)
{
    m_lateness.record(duration);
}

void LoadReport::addExample(Outcome outcome, const std::string &explanation)
{
    std::vector<std::string> &examples = m_examples[outcome];
    if (examples.size() < maximumExamples) {
        examples.push_back(explanation);
    }
}

bool LoadReport::isClean() const
{
    const LoadTally sum = total();
    const std::uint64_t wrong = sum.count(Outcome::Corrupted) + sum.count(Outcome::Misdelivered) + sum.count(Outcome::Duplicated) + sum.count(Outcome::Lost);
    return wrong + m_duplicateRuns + m_falseNotRuns == 0;
}

std::string LoadReport::toJson() const
{
    const LoadTally sum = total();
    ordered_json root = jsonOf(sum);
    root["doubled"] = sum.count(Outcome::Duplicated) + m_duplicateRuns;
    root["false_not_run"] = m_falseNotRuns;
    root["send_lateness_ms"] = jsonOf(m_lateness);
    for (const auto &[outcome, examples] : m_examples) {
        root["examples"][nameOf(outcome)] = examples;
    }
    for (std::size_t i = 0; i < m_tallies.size(); ++i) {
        root["organisations"][m_organisations[i]] = jsonOf(m_tallies[i]);
    }
    return root.dump(2);
}

std::string LoadReport::toText() const
{
    const LoadTally sum = total();
    std::ostringstream text;
    text << "sent " << sum.sent;
    for (const NamedOutcome &named : namedOutcomes) {
        const bool isDuplicated = named.outcome == Outcome::Duplicated;
        text << ", " << named.name << ' ' << sum.count(named.outcome) + (isDuplicated ? m_duplicateRuns : 0);
    }
    text << ", false not-run " << m_falseNotRuns << "\nhit rate " << hitRate(sum.usage) << " (" << sum.usage.cachedTokens << " of " << sum.usage.promptTokens
         << " prompt tokens)\ntime to first token:\n"
         << sum.firstToken.toText() << "time between tokens:\n"
         << sum.betweenTokens.toText();
    for (const auto &[outcome, examples] : m_examples) {
        for (const std::string &example : examples) {
            text << nameOf(outcome) << ": " << example << '\n';
        }
    }
    return text.str();
}

} // namespace Verbena::Load
