#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief One row of the settings tree; a deleted row stays as a tombstone.
struct SettingsRow
{
    std::string path;
    std::string content; ///< Empty for a tombstone.
    std::uint64_t revision = 0;
    bool isDeleted = false;

    bool operator==(const SettingsRow &) const = default;
};

/// \brief All rows whose last change lies after \a since and up to \a covered, as a holder of revision \a highest has them.
///
/// For a page of the table that is not the last, \a highest is a lower bound only.
struct SettingsDelta
{
    std::uint64_t since = 0;
    std::uint64_t covered = 0;
    std::uint64_t highest = 0;
    std::vector<SettingsRow> rows; ///< By rising revision.
    bool isFromTable = false;

    /// \brief True if nothing that the holder has is left out after \a since.
    bool isLast() const
    {
        return covered == highest;
    }
};

/// \brief What the rows of a table's answer say, read since a revision with a limit on their number.
///
/// A full page may end inside of a commit, so its last commit is left to the next page.
SettingsDelta deltaOfTablePage(std::uint64_t since, std::size_t limit, std::vector<SettingsRow> rows);

/// \brief What processes tell each other of the settings they hold, a few bytes whatever the size of the tree.
struct SettingsDigest
{
    std::uint64_t revision = 0; ///< Every change up to this one is held.
    std::uint64_t hash = 0; ///< Over all rows.
    std::optional<std::chrono::microseconds> verifiedAge; ///< Every change accepted longer ago than this is held; nothing if never known.
};

} // namespace Verbena::Decisions
