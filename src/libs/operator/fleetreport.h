#pragma once

#include <core/result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Operator {

/// \brief The settings that a process reports.
struct ProcessReport
{
    std::string address;
    std::string name;
    std::uint64_t revision = 0;
    std::uint64_t hash = 0;
    std::optional<double> verifiedAgeSeconds; ///< Every change that was accepted longer ago is in force there.
    std::string failure; ///< Reason for a missing report; empty if there is one.
};

/// \brief Decodes the answer to GET /status of the process at \a address; a failure is part of the report.
ProcessReport readProcessReport(const std::string &address, const std::string &json);

/// \brief Returns a readable table of \a reports that marks processes with an older revision than \a acceptedRevision or with different settings.
///
/// If the accepted revision is not known, the highest one that is in force anywhere is used.
std::string renderFleet(const std::vector<ProcessReport> &reports, std::optional<std::uint64_t> acceptedRevision);

} // namespace Verbena::Operator
