#include "fleetreport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace Verbena::Operator {

namespace {

using Json = nlohmann::json;

// Returns the hash that most processes report at each revision.
std::map<std::uint64_t, std::uint64_t> commonHashes(const std::vector<ProcessReport> &reports)
{
    std::map<std::uint64_t, std::map<std::uint64_t, int>> counts;
    std::map<std::uint64_t, std::uint64_t> common;
    for (const ProcessReport &report : reports) {
        if (!report.failure.empty()) {
            continue;
        }
        auto &atRevision = counts[report.revision];
        const int count = ++atRevision[report.hash];
        if (count >= atRevision[common.try_emplace(report.revision, report.hash).first->second]) {
            common[report.revision] = report.hash;
        }
    }
    return common;
}

std::uint64_t highestRevision(const std::vector<ProcessReport> &reports)
{
    std::uint64_t highest = 0;
    for (const ProcessReport &report : reports) {
        highest = std::max(highest, report.revision);
    }
    return highest;
}

std::string ageText(const std::optional<double> &seconds)
{
    if (!seconds.has_value()) {
        return "never";
    }
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << *seconds << "s";
    return text.str();
}

} // namespace

ProcessReport readProcessReport(const std::string &address, const std::string &json)
{
    ProcessReport report;
    report.address = address;
    try {
        const Json status = Json::parse(json);
        const Json &settings = status.at("settings");
        report.name = status.value("name", "");
        report.revision = settings.at("revision").get<std::uint64_t>();
        report.hash = settings.value("hash", std::uint64_t{0});
        if (settings.contains("verified_age_seconds") && settings.at("verified_age_seconds").is_number()) {
            report.verifiedAgeSeconds = settings.at("verified_age_seconds").get<double>();
        }
    } catch (const Json::exception &) {
        report.failure = "The process says nothing of settings.";
    }
    return report;
}

std::string renderFleet(const std::vector<ProcessReport> &reports, std::optional<std::uint64_t> acceptedRevision)
{
    const std::uint64_t reference = acceptedRevision.value_or(highestRevision(reports));
    const auto common = commonHashes(reports);
    std::ostringstream text;
    std::size_t lagging = 0;
    for (const ProcessReport &report : reports) {
        text << report.address << "  ";
        if (!report.failure.empty()) {
            text << "no report: " << report.failure << '\n';
            continue;
        }
        text << report.name << "  revision " << report.revision << "  verified " << ageText(report.verifiedAgeSeconds) << " ago";
        if (report.revision < reference) {
            text << "  LAGS by " << reference - report.revision;
            ++lagging;
        }
        if (common.at(report.revision) != report.hash) {
            text << "  DIVERGED";
        }
        text << '\n';
    }
    text << (acceptedRevision.has_value() ? "Accepted revision " : "The accepted revision is not known; the highest in force is ") << reference << "; "
         << lagging << " of " << reports.size() << " processes lag.\n";
    return text.str();
}

} // namespace Verbena::Operator
