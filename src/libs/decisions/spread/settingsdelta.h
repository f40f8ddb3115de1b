#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief Row of the settings tree; a deleted row remains as a tombstone.
struct SettingsRow
{
    std::string path;
    std::string content; ///< Empty for a tombstone.
    std::uint64_t revision = 0;
    bool isDeleted = false;

    bool operator==(const SettingsRow &) const = default;
};

/// \brief All rows that were last changed after the revision \a since and up to \a covered.
///
/// The rows are in the state of their sender, which holds the tree at revision \a highest. For a page of the table other than the last,
/// \a highest is only a lower bound.
struct SettingsDelta
{
    std::uint64_t since = 0;
    std::uint64_t covered = 0;
    std::uint64_t highest = 0;
    std::vector<SettingsRow> rows; ///< Rows in ascending order of their revisions.
    bool isFromTable = false;

    /// \brief Returns whether the delta contains all changes of its sender after \a since.
    bool isLast() const
    {
        return covered == highest;
    }
};

/// \brief Returns the delta for a page of the table that was read with \a rows after the revision \a since.
///
/// A page of \a limit rows may end inside a commit, so its last commit is left to the next page.
SettingsDelta deltaOfTablePage(std::uint64_t since, std::size_t limit, std::vector<SettingsRow> rows);

/// \brief Summary of the settings that a process holds, for its peers; its size does not depend on that of the tree.
struct SettingsDigest
{
    std::uint64_t revision = 0; ///< Revision up to which the process holds all changes.
    std::uint64_t hash = 0; ///< Hash of all rows.
    std::optional<std::chrono::microseconds> verifiedAge; ///< The process holds all changes accepted longer ago than this; nothing if it never verified that.
};

} // namespace Verbena::Decisions
