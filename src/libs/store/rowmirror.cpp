#include "rowmirror.h"

#include <algorithm>

namespace Verbena::Store {

namespace {

// Deleted rows that are remembered in a table; beyond this number the table counts as read anew.
constexpr std::size_t mostRows = 50'000;

// Changes of a row that are remembered with their dates: who asks has missed one, or a few while it was cut off.
constexpr std::size_t mostChanges = 4;

} // namespace

void RowMirror::replace(const std::string &table, const RowPage &page)
{
    Table before = std::move(m_tables[table]);
    Table &known = m_tables[table];
    known = {{}, page.revision, page.revision, before.verifiedAt};
    for (const TableRow &row : page.rows) {
        const auto entry = before.rows.find(row.key);
        if (entry != before.rows.end()) {
            known.rows.emplace(row.key, std::move(entry->second));
        }
    }
    change(table, page);
}

void RowMirror::change(const std::string &table, const RowPage &page)
{
    Table &known = m_tables[table];
    known.revision = std::max(known.revision, page.revision);
    for (const TableRow &row : page.rows) {
        note(known.rows[row.key], row);
    }
    if (known.rows.size() > mostRows) {
        std::erase_if(known.rows, [](const auto &entry) { return entry.second.row.isDeleted; });
        known.wholeAt = known.revision;
    }
}

void RowMirror::noteVerified(const std::string &table, StoreTime verifiedAt, std::uint64_t coveredRevision)
{
    Table &known = m_tables[table];
    known.verifiedAt = verifiedAt;
    known.revision = std::max(known.revision, coveredRevision);
}

std::optional<StoreTime> RowMirror::verifiedAt(const std::string &table) const
{
    const auto known = m_tables.find(table);
    return known == m_tables.end() ? std::nullopt : known->second.verifiedAt;
}

void RowMirror::note(Entry &entry, const TableRow &row)
{
    entry.row = row;
    if (!entry.changes.empty() && entry.changes.back().revision >= row.revision) {
        return;
    }
    entry.changes.push_back({row.revision, row.committedAfter});
    if (entry.changes.size() > mostChanges) {
        entry.forgotten = entry.changes.front().revision;
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
    row.committedAfter = entry.forgotten > revision || first == entry.changes.end() ? std::nullopt : first->committedAfter;
    return row;
}

RowPage RowMirror::since(const std::string &table, std::uint64_t revision) const
{
    RowPage page;
    const auto known = m_tables.find(table);
    if (known == m_tables.end()) {
        return page;
    }
    page.revision = known->second.revision;
    page.verifiedAt = known->second.verifiedAt;
    page.isHistoryLost = revision != 0 && revision < known->second.wholeAt;
    for (const auto &[key, entry] : known->second.rows) {
        if (!page.isHistoryLost && entry.row.revision > revision && !(revision == 0 && entry.row.isDeleted)) {
            page.rows.push_back(rowSince(entry, revision));
        }
    }
    return page;
}

} // namespace Verbena::Store
