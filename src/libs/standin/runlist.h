#pragma once

#include <http/httpexchange.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Standin {

/// \brief Names one execution in a RunList.
enum class RunId : std::size_t {};

/// \brief What became of an execution.
enum class RunState { Started, Finished, Cancelled };

/// \brief Everything a stand-in has executed, for checks that nothing ran twice or ran when it was said not to.
///
/// `GET /runs` answers `{"incarnation": n, "runs": [...]}`, one entry an execution, in order: `request` (header Verbena-Request), `attempt` (header
/// Verbena-Attempt, 0 if absent), `idempotency_key` (header Idempotency-Key), `path`, `body_hash` (16 hexadecimal digits of XXH3-64 of the body),
/// `state` ("started", "finished" or "cancelled") and `times` (which execution of this request it is, from 1).
class RunList
{
public:
    /// \brief Notes that the request of \a exchange begins to run.
    RunId start(const Http::HttpExchange &exchange);

    void setState(RunId id, RunState state);

    /// \brief The JSON text of `GET /runs`.
    std::string toJson(std::uint64_t incarnation) const;

    /// \brief `body_hash` of \a body.
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
        std::uint32_t times = 1;
    };

    std::vector<Run> m_runs;
    std::unordered_map<std::string, std::uint32_t> m_timesOfRequest;
};

} // namespace Verbena::Standin
