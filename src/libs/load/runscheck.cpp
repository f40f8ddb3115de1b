#include "runscheck.h"

#include <standin/runlist.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Verbena::Load {

void RunsCheck::addNonIdempotent(const std::string &body)
{
    m_runsOfBody.try_emplace(Standin::RunList::bodyHash(body), 0);
}

void RunsCheck::addNotRun(const std::string &body)
{
    m_notRun.insert(Standin::RunList::bodyHash(body));
}

Core::Result<void> RunsCheck::addRuns(const std::string &json)
{
    const nlohmann::json root = nlohmann::json::parse(json, nullptr, false);
    if (!root.is_object() || !root.contains("runs") || !root["runs"].is_array()) {
        return Core::Error{Core::ErrorCode::InvalidArgument, "load.runs", "", "The list of runs is invalid."};
    }
    for (const nlohmann::json &run : root["runs"]) {
        const auto found = m_runsOfBody.find(run.value("body_hash", ""));
        if (found != m_runsOfBody.end()) {
            ++found->second;
        }
    }
    return Core::success();
}

std::uint64_t RunsCheck::duplicateCount() const
{
    return static_cast<std::uint64_t>(std::ranges::count_if(m_runsOfBody, [](const auto &entry) { return entry.second > 1; }));
}

std::uint64_t RunsCheck::falseNotRunCount() const
{
    const auto hasRun = [this](const std::string &hash) {
        const auto found = m_runsOfBody.find(hash);
        return found != m_runsOfBody.end() && found->second > 0;
    };
    return static_cast<std::uint64_t>(std::ranges::count_if(m_notRun, hasRun));
}

} // namespace Verbena::Load
