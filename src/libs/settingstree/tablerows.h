#pragma once

#include <decisions/spread/settingsdelta.h>
#include <store/tableservice.h>

#include <vector>

namespace Verbena::SettingsTree {

/// \brief The rows of the settings tree as the table service hands them over.
std::vector<Decisions::SettingsRow> settingsRowsOf(std::vector<Store::TableRow> rows);

} // namespace Verbena::SettingsTree
