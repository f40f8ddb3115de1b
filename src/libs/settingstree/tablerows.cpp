#include "tablerows.h"

namespace Verbena::SettingsTree {

std::vector<Decisions::SettingsRow> settingsRowsOf(std::vector<Store::TableRow> rows)
{
    std::vector<Decisions::SettingsRow> result;
    result.reserve(rows.size());
    for (Store::TableRow &row : rows) {
        result.push_back({std::move(row.key), std::move(row.value), row.revision, row.isDeleted});
    }
    return result;
}

} // namespace Verbena::SettingsTree
