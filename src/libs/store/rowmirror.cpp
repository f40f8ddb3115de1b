#include "rowmirror.h"

namespace Verbena::Store {

namespace {

// Deleted rows that are remembered in a table; beyond this number the table counts as read anew.
constexpr std::size_t mostRows = 50'000;

} // namespace

void RowMirror::replace(const std::string &table, const RowPage &page)
{
    m_tables[table] = {{}, page.revision, page.revision};
    change(table, page);
}

void RowMirror::change(const std::string &table, const RowPage &page)
{
    Table &known = m_tables[table];
    known.revision = page.revision;
    for (const TableRow &row : page.rows) {
        known.rows[row.key] = row;
    }
    if (known.rows.size() > mostRows) {
        std::erase_if(known.rows, [](const auto &entry) { return entry.second.isDeleted; });
        known.wholeAt = known.revision;
    }
}

RowPage RowMirror::since(const std::string &table, std::uint64_t revision) const
{
    RowPage page;
    const auto known = m_tables.find(table);
    if (known == m_tables.end()) {
        return page;
    }
    page.revision = known->second.revision;
    page.isHistoryLost = revision != 0 && revision < known->second.wholeAt;
    for (const auto &[key, row] : known->second.rows) {
        if (!page.isHistoryLost && row.revision > revision && !(revision == 0 && row.isDeleted)) {
            page.rows.push_back(row);
        }
    }
    return page;
}

} // namespace Verbena::Store
