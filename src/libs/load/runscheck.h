#pragma once

#include <core/result.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace Verbena::Load {

/// \brief Compares the outcomes reported to the callers with the calls that the plain services executed.
class RunsCheck
{
public:
    /// \brief Adds a request with \a body that may run at most once.
    void addNonIdempotent(const std::string &body);

    /// \brief Records that the request with \a body was reported to its caller as not run.
    void addNotRun(const std::string &body);

    /// \brief Adds the runs in the answer to a service's `GET /runs`. Errors: InvalidArgument.
    Core::Result<void> addRuns(const std::string &json);

    /// \brief Returns the number of requests that ran more than once.
    std::uint64_t duplicateCount() const;

    /// \brief Returns the number of requests that ran although they were reported as not run.
    std::uint64_t falseNotRunCount() const;

private:
    std::unordered_map<std::string, std::uint32_t> m_runsOfBody; ///< Number of runs by body hash.
    std::unordered_set<std::string> m_notRun;
};

} // namespace Verbena::Load
