#pragma once

#include <decisions/spread/settingsstore.h>
#include <settingstree/treefiles.h>

#include <optional>
#include <string>
#include <vector>

namespace Verbena::Operator {

/// \brief One row that an operator wants to change.
struct RowChange
{
    std::string path;
    std::optional<std::string> before; ///< Content; nothing if there is no such row.
    std::optional<std::string> after; ///< Content; nothing to delete the row.
    std::uint64_t expectedRevision = 0; ///< Of the row or its tombstone; 0 if there never was one.
};

/// \brief What an operator wants: rows to have and subtrees that shall hold nothing else.
struct DesiredChange
{
    SettingsTree::Tree rows;
    std::vector<std::string> prunedSubtrees; ///< Rows below that are not in \a rows are deleted.
};

/// \brief The rows of \a current that differ from what is desired, by path.
std::vector<RowChange> planChanges(const Decisions::SettingsStore &current, const DesiredChange &desired);

/// \brief The decoded tree as it will be after \a changes. Errors: InvalidArgument, naming rows that cannot be read.
Core::Result<SettingsTree::Tree> treeAfter(const Decisions::SettingsStore &current, const std::vector<RowChange> &changes);

/// \brief For people: what each change does, key by key.
std::string describeChanges(const std::vector<RowChange> &changes);

} // namespace Verbena::Operator
