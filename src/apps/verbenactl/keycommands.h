#pragma once

#include "exitstatus.h"

#include <string>

namespace Verbena::Tool {

/// \brief Runs "keygen curve" or "keygen api": prints a new key and what the settings need of it.
ExitStatus runKeygen(const std::string &kind);

} // namespace Verbena::Tool
