#include "runlist.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <charconv>
#include <iomanip>
#include <sstream>

namespace Verbena::Standin {

namespace {

const char *nameOf(RunState state)
{
    switch (state) {
    case RunState::Started:
        return "started";
    case RunState::Finished:
        return "finished";
    case RunState::Cancelled:
        return "cancelled";
    }
    return "";
}

std::uint32_t numberOf(const std::string &text)
{
    std::uint32_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

RunId RunList::start(const Http::HttpExchange &exchange)
{
    Run run;
    run.request = exchange.header("Verbena-Request").value_or("");
    run.attempt = exchange.header("Verbena-Attempt").value_or("");
    run.idempotencyKey = exchange.header("Idempotency-Key").value_or("");
    run.path = exchange.path();
    run.bodyHash = bodyHash(exchange.body());
    run.executionNumber = ++m_executionCounts[run.request];
    m_runs.push_back(std::move(run));
    return RunId(m_runs.size() - 1);
}

void RunList::setState(RunId id, RunState state)
{
    m_runs[static_cast<std::size_t>(id)].state = state;
}

std::string RunList::toJson(std::uint64_t incarnation) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Run &run : m_runs) {
        list.push_back({{"request", run.request},
            {"attempt", numberOf(run.attempt)},
            {"idempotency_key", run.idempotencyKey},
            {"path", run.path},
            {"body_hash", run.bodyHash},
            {"state", nameOf(run.state)},
            {"times", run.executionNumber}});
    }
    const nlohmann::json root{{"incarnation", incarnation}, {"runs", std::move(list)}};
    return root.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string RunList::bodyHash(const std::string &body)
{
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << XXH3_64bits(body.data(), body.size());
    return text.str();
}

} // namespace Verbena::Standin
