#pragma once

#include <decisions/spread/settingsstore.h>
#include <settingstree/treefiles.h>

#include <optional>
#include <string>
#include <vector>

namespace Verbena::Operator {

/// \brief A change of one row that an operator requests.
struct RowChange
{
    std::string path;
    std::optional<std::string> before; ///< Content before the change; nothing if there is no such row.
    std::optional<std::string> after; ///< Content after the change; nothing to delete the row.
    std::uint64_t expectedRevision = 0; ///< Revision of the row or its tombstone; 0 if there never was one.
};

/// \brief The state that an operator requests: rows, and subtrees without any other rows.
struct DesiredChange
{
    SettingsTree::Tree rows;
    std::vector<std::string> prunedSubtrees; ///< Subtrees in which rows that are not in \a rows are deleted.
};

/// \brief Returns the changes that turn \a current into the desired state, by path.
std::vector<RowChange> planChanges(const Decisions::SettingsStore &current, const DesiredChange &desired);

/// \brief Returns the decoded tree after \a changes. Errors: InvalidArgument, with the rows that cannot be decoded.
Core::Result<SettingsTree::Tree> treeAfter(const Decisions::SettingsStore &current, const std::vector<RowChange> &changes);

/// \brief Returns a readable description of each change, key by key.
std::string describeChanges(const std::vector<RowChange> &changes);

} // namespace Verbena::Operator
