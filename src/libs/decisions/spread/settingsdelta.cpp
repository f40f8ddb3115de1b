#include "settingsdelta.h"

namespace Verbena::Decisions {

SettingsDelta deltaOfTablePage(std::uint64_t since, std::size_t limit, std::vector<SettingsRow> rows)
{
    if (rows.empty()) {
        return {since, since, since, {}, true};
    }
    const std::uint64_t last = rows.back().revision;
    if (rows.size() < limit) {
        return {since, last, last, std::move(rows), true};
    }
    while (!rows.empty() && rows.back().revision == last) {
        rows.pop_back();
    }
    return {since, last - 1, last, std::move(rows), true};
}

} // namespace Verbena::Decisions
