#pragma once

#include <http/httpexchange.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Standin {

/// \brief Identifies one execution in a RunList.
enum class RunId : std::size_t {};

/// \brief State of an execution.
enum class RunState { Started, Finished, Cancelled };

/// \brief List of everything that a stand-in has executed. Tests use it to check that no request ran twice or ran although it was reported as not run.
///
/// `GET /runs` answers `{"incarnation": n, "runs": [...]}`, one entry for each execution, in order: `request` (header Verbena-Request), `attempt` (header
/// Verbena-Attempt, 0 if absent), `idempotency_key` (header Idempotency-Key), `path`, `body_hash` (16 hexadecimal digits of XXH3-64 of the body),
/// `state` ("started", "finished" or "cancelled") and `times` (which execution of this request it is, from 1).
class RunList
{
public:
    /// \brief Records that the request of \a exchange starts to run.
    RunId start(const Http::HttpExchange &exchange);

    void setState(RunId id, RunState state);

    /// \brief Returns the JSON text of `GET /runs`.
    std::string toJson(std::uint64_t incarnation) const;

    /// \brief Returns the `body_hash` of \a body.
    static std::string bodyHash(const std::string &body);

private:
    struct Run
    {
        std::string request;
        std::string attempt;
        std::string idempotencyKey;
        std::string path;
        std::string bodyHash;
        RunState state = RunState::Started;
        std::uint32_t executionNumber = 1;
    };

    std::vector<Run> m_runs;
    std::unordered_map<std::string, std::uint32_t> m_executionCounts;
};

} // namespace Verbena::Standin
