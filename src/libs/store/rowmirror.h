#pragma once

#include "rowsource.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Store {

/// \brief Copy of the tables that a process follows, from which it answers other processes.
class RowMirror
{
public:
    /// \brief Replaces all rows of \a table by those of \a page.
    void replace(const std::string &table, const RowPage &page);

    /// \brief Applies the changes in \a page to \a table.
    void applyChanges(const std::string &table, const RowPage &page);

    /// \brief Records that the copy of \a table has all changes up to \a coveredRevision and all that the store acknowledged before \a verifiedAt.
    void setVerified(const std::string &table, StoreTime verifiedAt, std::uint64_t coveredRevision);

    /// \brief Returns the time before which the copy of \a table has all changes that the store acknowledged; nothing if there is no such time.
    std::optional<StoreTime> verifiedAt(const std::string &table) const;

    /// \brief Returns the rows of \a table that changed after \a revision, or the whole table for 0.
    ///
    /// The history is lost if rows may have been deleted whose tombstones are gone. A row has the commit time of its first change after \a revision, so that
    /// the time is not later than any change that the requester missed.
    RowPage changesSince(const std::string &table, std::uint64_t revision) const;

private:
    struct Change
    {
        std::uint64_t revision = 0;
        std::optional<StoreTime> committedAfter;
    };

    struct Entry
    {
        TableRow row;
        std::vector<Change> changes; ///< Latest changes, by ascending revision.
        std::uint64_t evictedRevision = 0; ///< Revision of the last change before those in changes; 0 if there is none.
    };

    static std::size_t tombstoneBytes(const TableRow &row);
    static void recordChange(Entry &entry, const TableRow &row);
    static TableRow rowSince(const Entry &entry, std::uint64_t revision);

    struct Table
    {
        std::map<std::string, Entry> rows; ///< Rows and tombstones of deleted rows.
        std::uint64_t revision = 0;
        std::uint64_t historyStart = 0; ///< Revision after which the tombstones of all deleted rows are kept.
        std::optional<StoreTime> verifiedAt = {};
        std::size_t tombstoneBytes = 0; ///< By heldBytes(), of the deleted rows.
    };

    std::map<std::string, Table> m_tables;
};

} // namespace Verbena::Store
