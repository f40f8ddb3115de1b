#pragma once

#include <string>
#include <vector>

namespace Verbena::Settings {

/// \brief One thing that is wrong in a settings file, and where.
struct SettingsProblem
{
    std::string file;
    int line = 0; ///< Counts from 1; 0 where the file as a whole is meant.
    std::string key; ///< Path of the key, for instance "listen.port".
    std::string message; ///< A full sentence.

    std::string toString() const;
};

/// \brief All of \a problems, one a line.
std::string joinProblems(const std::vector<SettingsProblem> &problems);

} // namespace Verbena::Settings
