#pragma once

#include <string>
#include <vector>

namespace Verbena::Settings {

/// \brief What a program asks of one key of its settings file.
struct SettingDescription
{
    std::string key; ///< Path of the key; "[]" stands for each item of a list.
    std::string type; ///< With the unit, for instance "span of time".
    std::string defaultValue; ///< "required" if there is none.
    std::string range; ///< Empty if every value of the type is good.
};

/// \brief A Markdown table with one row a key.
std::string describeAsTable(const std::vector<SettingDescription> &descriptions);

} // namespace Verbena::Settings
