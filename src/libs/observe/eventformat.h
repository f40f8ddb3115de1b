#pragma once

#include "eventlog.h"

#include <string>
#include <vector>

namespace Verbena::Observe {

/// \brief Returns the upper-case name of \a severity that is used in log lines.
const char *severityName(Severity severity);

/// \brief Returns number, name and text of \a event, followed by name=value for each field. Values with blanks or special characters are quoted.
std::string formatText(const Event &event, const std::vector<Field> &fields);

/// \brief Returns the members of a JSON object without its opening brace, so that a time can be inserted before them.
///
/// Fields cannot replace the members level, process, number, event and text.
std::string formatJsonMembers(const std::string &process, const Event &event, const std::vector<Field> &fields);

} // namespace Verbena::Observe
