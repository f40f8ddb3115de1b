#pragma once

#include "crashhistory.h"

#include <core/result.h>

#include <optional>
#include <string>
#include <variant>

namespace Verbena::Decisions {

/// \brief The number of trials of a suspected subject.
struct TrialCount
{
    CrashSubject subject;
    std::uint32_t count = 0;
};

/// \brief The content of a row of the shared table of crashes.
using CrashRow = std::variant<CrashRecord, TrialCount>;

/// \brief Returns the key of the row that holds \a record.
std::string crashRowKey(const CrashRecord &record);

/// \brief Returns the key of the row that counts the trials of \a subject.
std::string trialRowKey(const CrashSubject &subject);

/// \brief Decodes the row with \a key and \a value; \a value is empty if the row was deleted. Errors: InvalidArgument.
Core::Result<CrashRow> decodeCrashRow(const std::string &key, const std::string &value);

} // namespace Verbena::Decisions
