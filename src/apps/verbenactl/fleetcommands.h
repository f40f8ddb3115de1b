#pragma once

#include "arguments.h"
#include "exitstatus.h"

#include <string>
#include <vector>

namespace Verbena::Tool {

/// \brief Runs "status": asks each process for its settings and shows who lags.
ExitStatus runStatus(const Arguments &arguments);

/// \brief Runs "explain PROMPT_FILE": asks a router where it would send a prompt, and why.
ExitStatus runExplain(const Arguments &arguments, const std::string &promptFile);

/// \brief Runs "explain REQUEST_ID LOG_FILE...": tells what logs of several processes say of one request.
ExitStatus runTell(const std::string &requestId, const std::vector<std::string> &logFiles);

} // namespace Verbena::Tool
