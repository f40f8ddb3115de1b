#pragma once

#include <observe/eventlog.h>

#include <string>

namespace Verbena::Settings {

class SettingsReader;

/// \brief Reads the section "log", which every program has, with the format and level of its log.
Observe::LogOptions readLogSettings(SettingsReader &root, const std::string &process);

} // namespace Verbena::Settings
