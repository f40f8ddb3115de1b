#include "settingdescription.h"

namespace Verbena::Settings {

std::string describeAsTable(const std::vector<SettingDescription> &descriptions)
{
    std::string text = "| key | type | default | range |\n|---|---|---|---|\n";
    for (const SettingDescription &description : descriptions) {
        text.append("| `").append(description.key).append("` | ").append(description.type);
        text.append(" | ").append(description.defaultValue).append(" | ").append(description.range).append(" |\n");
    }
    return text;
}

} // namespace Verbena::Settings
