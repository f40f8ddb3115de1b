#pragma once

#include "rowcodec.h"

#include <map>
#include <string>
#include <vector>

namespace Verbena::SettingsTree {

/// \brief The decoded rows of a whole settings tree by their keys in the table.
using Tree = std::map<std::string, RowContent>;

/// \brief An inconsistency between rows that are valid by themselves.
struct TreeProblem
{
    std::string path; ///< Key of the row.
    std::string key; ///< Key within the content of the row.
    std::string message; ///< Description as a full sentence.
};

/// \brief Checks the references between the rows of a whole tree, and what must be unique in it.
std::vector<TreeProblem> checkTree(const Tree &tree);

} // namespace Verbena::SettingsTree
