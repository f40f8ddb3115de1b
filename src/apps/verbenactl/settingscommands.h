#pragma once

#include "arguments.h"
#include "exitstatus.h"

namespace Verbena::Tool {

/// \brief Runs "settings ..."; the words begin after "settings".
ExitStatus runSettingsCommand(const Arguments &arguments, const std::vector<std::string> &words);

/// \brief Runs "drain NAME".
ExitStatus runDrain(const Arguments &arguments, const std::string &name);

} // namespace Verbena::Tool
