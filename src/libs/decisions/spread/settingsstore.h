#pragma once

#include "settingsdelta.h"

#include <map>

namespace Verbena::Decisions {

/// \brief Outcome of merging a delta.
enum class MergeOutcome {
    Stale, ///< The delta contained nothing new.
    Gap, ///< The delta begins after the cursor, so that changes in between would be missing, or it is inconsistent.
    Continued, ///< The delta was kept; more deltas are needed before the later state is complete.
    Advanced, ///< The store advanced to a later revision of the whole tree.
};

/// \brief Result of a merge.
struct MergeResult
{
    MergeOutcome outcome = MergeOutcome::Stale;
    std::vector<SettingsRow> changed; ///< Every row that changed, if the outcome is Advanced.
};

/// \brief Rows of the settings tree that one process holds.
///
/// Guarantee: the rows are always exactly those of the table at revision(), and revision() never decreases. Deltas of a later state are kept
/// separately until that state is complete.
class SettingsStore
{
public:
    /// \brief Returns the revision of the table that the rows represent.
    std::uint64_t revision() const;

    /// \brief Returns a hash of all rows, which is equal in all processes that hold the same rows.
    std::uint64_t hash() const;

    /// \brief Returns the number of rows, including tombstones.
    std::size_t rowCount() const;

    /// \brief Returns the row at \a path, which may be a tombstone, or nothing if there is none.
    std::optional<SettingsRow> row(const std::string &path) const;

    /// \brief Returns all rows, including tombstones, as one delta since revision 0.
    SettingsDelta everything() const;

    /// \brief Returns the changes after \a since as whole commits: at least one, and otherwise up to about \a maximumBytes.
    SettingsDelta deltaSince(std::uint64_t since, std::size_t maximumBytes) const;

    /// \brief Returns the revision after which the next delta has to begin.
    std::uint64_t cursor() const;

    /// \brief Merges \a delta, and advances to its revision if that completes a later state.
    MergeResult merge(SettingsDelta delta);

    /// \brief Discards a later state that was not completed in time, for instance because its only holder is gone.
    void abandonCatchUp();

    /// \brief Returns whether deltas of an incomplete later state are kept.
    bool isCatchingUp() const;

private:
    struct StoredRow
    {
        std::string content;
        std::uint64_t revision = 0;
        bool isDeleted = false;
    };
    using RowMap = std::map<std::string, StoredRow>;

    struct LogEntry
    {
        std::uint64_t revision = 0;
        RowMap::const_iterator row;
    };

    struct CatchUp
    {
        std::uint64_t cursor = 0;
        std::uint64_t target = 0; ///< Highest known revision of the senders of its deltas.
        bool hasTablePages = false;
        std::map<std::string, SettingsRow> rows;
    };

    bool isCompletedBy(const SettingsDelta &delta) const;
    std::vector<SettingsRow> completeCatchUp(std::uint64_t revision);
    void store(const SettingsRow &row);
    void compactLog();

    RowMap m_rows;
    std::vector<LogEntry> m_log; ///< Changes in ascending order of their revisions; entries of rows that changed again are skipped.
    std::uint64_t m_revision = 0;
    std::uint64_t m_hash = 0;
    CatchUp m_catchUp;
};

} // namespace Verbena::Decisions
