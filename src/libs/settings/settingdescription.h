#pragma once

#include <string>
#include <vector>

namespace Verbena::Settings {

/// \brief Description of one key of a settings file.
struct SettingDescription
{
    std::string key; ///< Path of the key; "[]" stands for each item of a list.
    std::string type; ///< Type with the unit, for instance "span of time".
    std::string defaultValue; ///< "required" if there is none.
    std::string range; ///< Allowed values; empty if every value of the type is allowed.
};

/// \brief Returns a Markdown table with one row per key.
std::string describeAsTable(const std::vector<SettingDescription> &descriptions);

} // namespace Verbena::Settings
