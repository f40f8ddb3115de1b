#pragma once

#include <decisions/spread/settingsdelta.h>
#include <store/tableservice.h>

#include <vector>

namespace Verbena::SettingsTree {

/// \brief Converts rows of the table service to rows of the settings tree.
std::vector<Decisions::SettingsRow> settingsRowsOf(std::vector<Store::TableRow> rows);

} // namespace Verbena::SettingsTree
