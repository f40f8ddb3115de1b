#pragma once

#include <observe/eventlog.h>

#include <string>

namespace Verbena::Settings {

class SettingsReader;

/// \brief Reads the section "log" that every program has: format and level.
Observe::LogOptions readLogSettings(SettingsReader &root, const std::string &process);

} // namespace Verbena::Settings
