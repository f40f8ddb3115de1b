#pragma once

#include "rowcodec.h"

#include <map>
#include <string>
#include <vector>

namespace Verbena::SettingsTree {

/// \brief The decoded rows of a whole settings tree by their keys in the table.
using Tree = std::map<std::string, RowContent>;

/// \brief Something that is wrong between rows which are right by themselves.
struct TreeProblem
{
    std::string path; ///< Key of the row.
    std::string key; ///< Key inside of the row.
    std::string message; ///< A full sentence.
};

/// \brief Checks a whole tree: what rows say of each other, and what must be unique in the tree.
std::vector<TreeProblem> checkTree(const Tree &tree);

} // namespace Verbena::SettingsTree
