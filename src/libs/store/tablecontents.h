#pragma once

#include "tableservice.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Verbena::Store {

/// \brief Keys, revisions and sizes of the rows of a table, with a hash by which processes compare their copies.
class TableContents
{
public:
    /// \brief Replaces all rows by \a rows.
    void replace(const std::vector<TableRow> &rows);

    /// \brief Applies changed and deleted rows.
    void apply(const std::vector<TableRow> &rows);

    /// \brief Returns a hash that is the same for the same rows, whatever changes led to them; never 0.
    std::uint64_t hash() const;

    /// \brief Returns how many bytes the rows would take, by heldBytes(), after apply() with \a rows.
    std::size_t heldBytesAfter(const std::vector<TableRow> &rows) const;

private:
    struct Row
    {
        std::uint64_t revision = 0;
        std::size_t heldBytes = 0; ///< With the value, which is not kept here.
    };

    void apply(const TableRow &row);

    std::map<std::string, Row, std::less<>> m_rows; ///< By key; deleted rows are left out.
    std::uint64_t m_sum = 0; ///< Combined hashes of all rows.
    std::size_t m_heldBytes = 0; ///< Of all rows.
};

} // namespace Verbena::Store
