#pragma once

#include "settingsdelta.h"

#include <map>

namespace Verbena::Decisions {

/// \brief What became of a delta.
enum class MergeOutcome {
    Stale, ///< It held nothing new.
    Gap, ///< It begins after what is held, so that something would be missing in between, or contradicts itself.
    Continued, ///< It was kept, and more is needed before the state is whole.
    Advanced, ///< The store moved on to a later revision of the whole tree.
};

/// \brief The result of a merge.
struct MergeResult
{
    MergeOutcome outcome = MergeOutcome::Stale;
    std::vector<SettingsRow> changed; ///< After Advanced: every row that differs from before.
};

/// \brief The rows of the settings tree that one process holds.
///
/// Guarantee: the rows are at all times exactly those of the table at revision(), a moment of its history, and revision() only
/// ever goes up. Parts of a later state wait apart until they are whole.
class SettingsStore
{
public:
    std::uint64_t revision() const;

    /// \brief A hash over all rows, equal in all processes that hold the same.
    std::uint64_t hash() const;

    std::size_t rowCount() const;

    /// \brief The row at \a path, tombstones included.
    std::optional<SettingsRow> row(const std::string &path) const;

    /// \brief All rows, tombstones included, as one delta since 0.
    SettingsDelta everything() const;

    /// \brief What changed after \a since, whole commits, about \a maximumBytes at most but at least one commit.
    SettingsDelta deltaSince(std::uint64_t since, std::size_t maximumBytes) const;

    /// \brief Where the next delta has to begin.
    std::uint64_t cursor() const;

    MergeResult merge(SettingsDelta delta);

    /// \brief Gives up a state that was not made whole in time, for instance as its only holder is gone.
    void abandonCatchUp();

    /// \brief True while parts of a later state wait.
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
        std::uint64_t target = 0; ///< The highest revision that any of its parts came from, as far as it is known.
        bool hasTablePages = false;
        std::map<std::string, SettingsRow> rows;
    };

    bool isCompletedBy(const SettingsDelta &delta) const;
    std::vector<SettingsRow> completeCatchUp(std::uint64_t revision);
    void store(const SettingsRow &row);
    void compactLog();

    RowMap m_rows;
    std::vector<LogEntry> m_log; ///< By rising revision; entries of rows that changed again are passed over.
    std::uint64_t m_revision = 0;
    std::uint64_t m_hash = 0;
    CatchUp m_catchUp;
};

} // namespace Verbena::Decisions
