#include "settingsproblem.h"

namespace Verbena::Settings {

std::string SettingsProblem::toString() const
{
    return file + ":" + std::to_string(line) + ": " + key + ": " + message;
}

std::string joinProblems(const std::vector<SettingsProblem> &problems)
{
    std::string text;
    for (const SettingsProblem &problem : problems) {
        if (!text.empty()) {
            text += '\n';
        }
        text += problem.toString();
    }
    return text;
}

} // namespace Verbena::Settings
