#pragma once

#include <core/result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Operator {

/// \brief What one process says of its settings.
struct ProcessReport
{
    std::string address;
    std::string name;
    std::uint64_t revision = 0;
    std::uint64_t hash = 0;
    std::optional<double> verifiedAgeSeconds; ///< Every change accepted longer ago is in force there.
    std::string failure; ///< Why there is no report; empty if there is one.
};

/// \brief Reads the answer to GET /status of the process at \a address. The report tells a failure.
ProcessReport readProcessReport(const std::string &address, const std::string &json);

/// \brief A table of \a reports for people, with who lags behind \a acceptedRevision or holds other settings than the rest.
///
/// Where the accepted revision is not known, the highest that is in force anywhere stands for it.
std::string renderFleet(const std::vector<ProcessReport> &reports, std::optional<std::uint64_t> acceptedRevision);

} // namespace Verbena::Operator
