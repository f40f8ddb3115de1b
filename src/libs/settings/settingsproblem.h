#pragma once

#include <string>
#include <vector>

namespace Verbena::Settings {

/// \brief A problem in a settings file and its position.
struct SettingsProblem
{
    std::string file;
    int line = 0; ///< Line number from 1 on; 0 for the whole file.
    std::string key; ///< Path of the key, for instance "listen.port".
    std::string message; ///< Description as a full sentence.

    std::string toString() const;
};

/// \brief Returns all \a problems, one per line.
std::string joinProblems(const std::vector<SettingsProblem> &problems);

} // namespace Verbena::Settings
