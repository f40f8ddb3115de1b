#pragma once

#include "rowsource.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Store {

/// \brief What a process knows of the tables that it follows, to be handed on to others.
class RowMirror
{
public:
    /// \brief Takes the whole of \a table.
    void replace(const std::string &table, const RowPage &page);

    /// \brief Takes changes of \a table.
    void change(const std::string &table, const RowPage &page);

    /// \brief All of \a table is known up to \a coveredRevision, and all that the store acknowledged before \a verifiedAt.
    void noteVerified(const std::string &table, StoreTime verifiedAt, std::uint64_t coveredRevision);

    /// \brief All of \a table is known that the store acknowledged before this moment; nothing if that is not known.
    std::optional<StoreTime> verifiedAt(const std::string &table) const;

    /// \brief What changed in \a table after \a revision; the whole of it for 0.
    ///
    /// History is lost where rows may have been deleted that nobody remembers. A row is dated by its first change after \a revision, and so by no later moment
    /// than any change that the asker missed.
    RowPage since(const std::string &table, std::uint64_t revision) const;

private:
    struct Change
    {
        std::uint64_t revision = 0;
        std::optional<StoreTime> committedAfter;
    };

    struct Entry
    {
        TableRow row;
        std::vector<Change> changes; ///< The latest ones, by rising revision.
        std::uint64_t forgotten = 0; ///< Revision of the last change before them; 0 if there is none.
    };

    static void note(Entry &entry, const TableRow &row);
    static TableRow rowSince(const Entry &entry, std::uint64_t revision);

    struct Table
    {
        std::map<std::string, Entry> rows; ///< Deleted ones too, as long as they are remembered.
        std::uint64_t revision = 0;
        std::uint64_t wholeAt = 0; ///< Deletions after this revision are remembered.
        std::optional<StoreTime> verifiedAt = {};
    };

    std::map<std::string, Table> m_tables;
};

} // namespace Verbena::Store
