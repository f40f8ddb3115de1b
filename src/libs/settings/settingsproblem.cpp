#include "settingsproblem.h"

#include <algorithm>
#include <cctype>

namespace Verbena::Settings {

namespace {

// A quoted key may contain line breaks, but a problem has to fit on one line.
std::string withoutControlCharacters(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char character) { return std::iscntrl(character) != 0; }, '?');
    return text;
}

} // namespace

std::string SettingsProblem::toString() const
{
    return file + ":" + std::to_string(line) + ": " + withoutControlCharacters(key) + ": " + message;
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
