#pragma once

#include <core/result.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace Verbena::Load {

/// \brief Compares what the callers were told with what the plain services executed.
class RunsCheck
{
public:
    /// \brief Notes that the request with \a body may run at most once.
    void addNonIdempotent(const std::string &body);

    /// \brief Notes that the caller of the request with \a body was told that it was not run.
    void addNotRun(const std::string &body);

    /// \brief Takes the answer of a service's `GET /runs`. Errors: InvalidArgument.
    Core::Result<void> takeRuns(const std::string &json);

    /// \brief Requests that ran more than once.
    std::uint64_t doubledCount() const;

    /// \brief Requests that ran though they were called not run.
    std::uint64_t falseNotRunCount() const;

private:
    std::unordered_map<std::string, std::uint32_t> m_runsOfBody; ///< By the hash of the body.
    std::unordered_set<std::string> m_notRun;
};

} // namespace Verbena::Load
