#pragma once

#include "crashledger.h"

#include <core/result.h>

#include <optional>
#include <string>
#include <variant>

namespace Verbena::Decisions {

/// \brief How often a suspected request has been tried.
struct TrialCount
{
    RequestIdentity request;
    std::uint32_t count = 0;
};

/// \brief What a row of the shared table of crashes says.
using CrashRow = std::variant<CrashRecord, TrialCount>;

/// \brief The key of the row that holds \a record.
std::string rowKey(const CrashRecord &record);

/// \brief The key of the row that counts the trials of \a request.
std::string trialKey(const RequestIdentity &request);

/// \brief Reads a row; of one that was deleted \a value is empty. Errors: InvalidArgument.
Core::Result<CrashRow> decodeCrashRow(const std::string &key, const std::string &value);

} // namespace Verbena::Decisions
