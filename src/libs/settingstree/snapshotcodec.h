#pragma once

#include <core/result.h>
#include <decisions/spread/settingsdelta.h>

#include <string>

namespace Verbena::SettingsTree {

/// \brief Encodes the whole tree at one revision for the object store: format version, hash and rows.
std::string encodeSnapshot(const Decisions::SettingsDelta &everything);

/// \brief Decodes a snapshot. Errors: InvalidArgument, if it has another format or is incomplete.
Core::Result<Decisions::SettingsDelta> decodeSnapshot(const std::string &bytes);

} // namespace Verbena::SettingsTree
