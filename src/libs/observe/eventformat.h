#pragma once

#include "eventlog.h"

#include <string>
#include <vector>

namespace Verbena::Observe {

/// \brief The upper-case name of \a severity, as log lines show it.
const char *severityName(Severity severity);

/// \brief Number, name and text of \a event, then name=value for each field; values that hold blanks or worse are quoted.
std::string formatText(const Event &event, const std::vector<Field> &fields);

/// \brief The members of a JSON object without its opening brace, so that a time can go before them. Fields cannot replace
/// the members level, process, number, event and text.
std::string formatJsonMembers(const std::string &process, const Event &event, const std::vector<Field> &fields);

} // namespace Verbena::Observe
