#pragma once

#include "arguments.h"
#include "exitstatus.h"

namespace Verbena::Tool {

/// \brief Runs "status": asks each process for its settings and shows who lags.
ExitStatus runStatus(const Arguments &arguments);

/// \brief Runs "explain PROMPT_FILE": asks a router where it would send a prompt, and why.
ExitStatus runExplain(const Arguments &arguments, const std::string &promptFile);

} // namespace Verbena::Tool
