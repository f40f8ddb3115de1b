#include "tablecontents.h"

#include "tablesize.h"

#include <xxhash.h>

#include <string_view>

namespace Verbena::Store {

namespace {

// Hash of a table without rows, as 0 means that a process computes none.
constexpr std::uint64_t emptyHash = 1;

// The store gives every write of a row a revision of its own, so that the value need not be hashed.
std::uint64_t hashOf(const std::string &key, std::uint64_t revision)
{
    return XXH64(key.data(), key.size(), revision);
}

} // namespace

void TableContents::replace(const std::vector<TableRow> &rows)
{
    m_rows.clear();
    m_sum = 0;
    m_heldBytes = 0;
    apply(rows);
}

void TableContents::apply(const std::vector<TableRow> &rows)
{
    for (const TableRow &row : rows) {
        apply(row);
    }
}

// The sum does not depend on the order of the rows, and each change costs the same however large the table is.
void TableContents::apply(const TableRow &row)
{
    const auto known = m_rows.find(row.key);
    if (known != m_rows.end()) {
        m_sum -= hashOf(row.key, known->second.revision);
        m_heldBytes -= known->second.heldBytes;
        m_rows.erase(known);
    }
    if (!row.isDeleted) {
        const std::size_t bytes = heldBytes(row);
        m_sum += hashOf(row.key, row.revision);
        m_heldBytes += bytes;
        m_rows.emplace(row.key, Row{row.revision, bytes});
    }
}

// A page may hold several changes of a row, of which the last one counts.
std::size_t TableContents::heldBytesAfter(const std::vector<TableRow> &rows) const
{
    std::map<std::string_view, std::size_t> changed;
    std::size_t bytes = m_heldBytes;
    for (const TableRow &row : rows) {
        const auto [entry, isFirst] = changed.try_emplace(row.key, 0);
        if (const auto known = m_rows.find(row.key); isFirst && known != m_rows.end()) {
            entry->second = known->second.heldBytes;
        }
        bytes -= entry->second;
        entry->second = row.isDeleted ? 0 : heldBytes(row);
        bytes += entry->second;
    }
    return bytes;
}

std::uint64_t TableContents::hash() const
{
    return m_sum == 0 ? emptyHash : m_sum;
}

} // namespace Verbena::Store
