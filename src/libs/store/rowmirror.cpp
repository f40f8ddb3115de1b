#include "rowmirror.h"

#include "tablesize.h"

#include <algorithm>

namespace Verbena::Store {

namespace {

// Maximum number of rows and tombstones in a table. Beyond it the tombstones are removed and the history begins anew.
constexpr std::size_t maximumRowsWithTombstones = 50'000;

// Number of changes of a row whose commit times are kept. A requester has usually missed one, or a few while it was disconnected.
constexpr std::size_t maximumChangesPerRow = 4;

} // namespace

void RowMirror::replace(const std::string &table, const RowPage &page)
{
    Table before = std::move(m_tables[table]);
    Table &tableState = m_tables[table];
    tableState = {{}, page.revision, page.revision, before.verifiedAt};
    for (const TableRow &row : page.rows) {
        const auto entry = before.rows.find(row.key);
        if (entry != before.rows.end()) {
            tableState.tombstoneBytes += tombstoneBytes(entry->second.row);
            tableState.rows.emplace(row.key, std::move(entry->second));
        }
    }
    applyChanges(table, page);
}

void RowMirror::applyChanges(const std::string &table, const RowPage &page)
{
    Table &tableState = m_tables[table];
    tableState.revision = std::max(tableState.revision, page.revision);
    for (const TableRow &row : page.rows) {
        Entry &entry = tableState.rows[row.key];
        tableState.tombstoneBytes -= tombstoneBytes(entry.row);
        recordChange(entry, row);
        tableState.tombstoneBytes += tombstoneBytes(entry.row);
    }
    if (tableState.rows.size() > maximumRowsWithTombstones || tableState.tombstoneBytes > maximumTableBytes) {
        std::erase_if(tableState.rows, [](const auto &entry) { return entry.second.row.isDeleted; });
        tableState.tombstoneBytes = 0;
        tableState.historyStart = tableState.revision;
    }
}

// The rows themselves are bounded by those who follow the table.
std::size_t RowMirror::tombstoneBytes(const TableRow &row)
{
    return row.isDeleted ? heldBytes(row) : 0;
}

void RowMirror::setVerified(const std::string &table, StoreTime verifiedAt, std::uint64_t coveredRevision)
{
    Table &tableState = m_tables[table];
    tableState.verifiedAt = verifiedAt;
    tableState.revision = std::max(tableState.revision, coveredRevision);
}

std::optional<StoreTime> RowMirror::verifiedAt(const std::string &table) const
{
    const auto tableState = m_tables.find(table);
    return tableState == m_tables.end() ? std::nullopt : tableState->second.verifiedAt;
}

void RowMirror::recordChange(Entry &entry, const TableRow &row)
{
    entry.row = row;
    if (!entry.changes.empty() && entry.changes.back().revision >= row.revision) {
        return;
    }
    entry.changes.push_back({row.revision, row.committedAfter});
    if (entry.changes.size() > maximumChangesPerRow) {
        entry.evictedRevision = entry.changes.front().revision;
        entry.changes.erase(entry.changes.begin());
    }
}

TableRow RowMirror::rowSince(const Entry &entry, std::uint64_t revision)
{
    const auto isMissed = [revision](const Change &change) {
        return change.revision > revision;
    };
    const auto first = std::find_if(entry.changes.begin(), entry.changes.end(), isMissed);
    TableRow row = entry.row;
    row.committedAfter = entry.evictedRevision > revision || first == entry.changes.end() ? std::nullopt : first->committedAfter;
    return row;
}

RowPage RowMirror::changesSince(const std::string &table, std::uint64_t revision) const
{
    RowPage page;
    const auto tableState = m_tables.find(table);
    if (tableState == m_tables.end()) {
        return page;
    }
    page.revision = tableState->second.revision;
    page.verifiedAt = tableState->second.verifiedAt;
    page.isHistoryLost = revision != 0 && revision < tableState->second.historyStart;
    for (const auto &[key, entry] : tableState->second.rows) {
        if (!page.isHistoryLost && entry.row.revision > revision && !(revision == 0 && entry.row.isDeleted)) {
            page.rows.push_back(rowSince(entry, revision));
        }
    }
    return page;
}

} // namespace Verbena::Store
