#pragma once

#include "rowsource.h"

#include <map>
#include <string>

namespace Verbena::Store {

/// \brief What a process knows of the tables that it follows, to be handed on to others.
class RowMirror
{
public:
    /// \brief Takes the whole of \a table.
    void replace(const std::string &table, const RowPage &page);

    /// \brief Takes changes of \a table.
    void change(const std::string &table, const RowPage &page);

    /// \brief What changed in \a table after \a revision; the whole of it for 0.
    ///
    /// History is lost where rows may have been deleted that nobody remembers.
    RowPage since(const std::string &table, std::uint64_t revision) const;

private:
    struct Table
    {
        std::map<std::string, TableRow> rows; ///< Deleted ones too, as long as they are remembered.
        std::uint64_t revision = 0;
        std::uint64_t wholeAt = 0; ///< Deletions after this revision are remembered.
    };

    std::map<std::string, Table> m_tables;
};

} // namespace Verbena::Store
