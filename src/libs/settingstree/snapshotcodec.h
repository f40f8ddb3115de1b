#pragma once

#include <core/result.h>
#include <decisions/spread/settingsdelta.h>

#include <string>

namespace Verbena::SettingsTree {

/// \brief The whole tree at one revision, as the object store keeps it: format version, hash and rows.
std::string encodeSnapshot(const Decisions::SettingsDelta &everything);

/// \brief Reads a snapshot. Errors: InvalidArgument, if its format is another or it is not whole.
Core::Result<Decisions::SettingsDelta> decodeSnapshot(const std::string &bytes);

} // namespace Verbena::SettingsTree
