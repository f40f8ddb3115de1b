#include "settingsstore.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr std::size_t rowOverheadBytes = 16; // Size of a row in a message in addition to its path and content.
constexpr std::size_t minimumLogSize = 1024; // Number of entries below which the log is not compacted.

std::uint64_t rowHash(const std::string &path, const std::string &content, std::uint64_t revision, bool isDeleted)
{
    const std::uint64_t seed = XXH3_64bits_withSeed(path.data(), path.size(), revision * 2 + (isDeleted ? 1 : 0));
    return XXH3_64bits_withSeed(content.data(), content.size(), seed);
}

bool isWellFormed(const SettingsDelta &delta)
{
    const auto isInRange = [&delta](const SettingsRow &row) {
        return row.revision > delta.since && row.revision <= delta.covered;
    };
    return delta.since <= delta.covered && delta.covered <= delta.highest && std::all_of(delta.rows.begin(), delta.rows.end(), isInRange);
}

} // namespace

std::uint64_t SettingsStore::revision() const
{
    return m_revision;
}

std::uint64_t SettingsStore::hash() const
{
    return m_hash;
}

std::size_t SettingsStore::rowCount() const
{
    return m_rows.size();
}

std::optional<SettingsRow> SettingsStore::row(const std::string &path) const
{
    const auto found = m_rows.find(path);
    if (found == m_rows.end()) {
        return std::nullopt;
    }
    return SettingsRow{path, found->second.content, found->second.revision, found->second.isDeleted};
}

SettingsDelta SettingsStore::everything() const
{
    return deltaSince(0, SIZE_MAX);
}

SettingsDelta SettingsStore::deltaSince(std::uint64_t since, std::size_t maximumBytes) const
{
    SettingsDelta delta{since, m_revision, m_revision, {}, false};
    std::size_t bytes = 0;
    auto entry = std::upper_bound(m_log.begin(), m_log.end(), since, [](std::uint64_t revision, const LogEntry &logged) { return revision < logged.revision; });
    for (; entry != m_log.end(); ++entry) {
        const auto &[path, stored] = *entry->row;
        if (stored.revision != entry->revision) {
            continue;
        }
        // Rows of one commit have the same revision and must not be separated.
        const bool isNewCommit = delta.rows.empty() || delta.rows.back().revision != stored.revision;
        if (isNewCommit && bytes > maximumBytes) {
            delta.covered = delta.rows.back().revision;
            return delta;
        }
        bytes += path.size() + stored.content.size() + rowOverheadBytes;
        delta.rows.push_back({path, stored.content, stored.revision, stored.isDeleted});
    }
    return delta;
}

std::uint64_t SettingsStore::cursor() const
{
    return std::max(m_revision, m_catchUp.cursor);
}

// Deltas from several senders combine to one complete state: a delta that does not begin after the cursor contains each row whose last
// change, as known to its sender, lies in its range. A row that is missing after the last delta must have changed again after the range of the delta that
// lacks it, but at or below the revision of that sender and so the target. As the sender of the last delta holds at least the target, that
// change is in the last delta. For pages of the table the target is not known, but the last page of the table is read after the others, so
// only the last page completes them.
MergeResult SettingsStore::merge(SettingsDelta delta)
{
    if (delta.since > cursor() || !isWellFormed(delta)) {
        return {MergeOutcome::Gap, {}};
    }
    const bool isWhole = isCompletedBy(delta);
    if (delta.covered <= cursor() && !(isCatchingUp() && isWhole)) {
        return {MergeOutcome::Stale, {}};
    }
    m_catchUp.target = std::max(m_catchUp.target, delta.highest);
    m_catchUp.cursor = std::max(cursor(), delta.covered);
    m_catchUp.hasTablePages = m_catchUp.hasTablePages || delta.isFromTable;
    for (SettingsRow &row : delta.rows) {
        SettingsRow &known = m_catchUp.rows[row.path];
        if (row.revision > known.revision) {
            known = std::move(row);
        }
    }
    if (!isWhole) {
        return {MergeOutcome::Continued, {}};
    }
    return {MergeOutcome::Advanced, completeCatchUp(delta.highest)};
}

void SettingsStore::abandonCatchUp()
{
    m_catchUp = {};
}

bool SettingsStore::isCatchingUp() const
{
    return m_catchUp.target > m_revision;
}

bool SettingsStore::isCompletedBy(const SettingsDelta &delta) const
{
    return delta.isLast() && delta.highest >= m_catchUp.target && (delta.isFromTable || !m_catchUp.hasTablePages);
}

std::vector<SettingsRow> SettingsStore::completeCatchUp(std::uint64_t revision)
{
    std::vector<SettingsRow> changed;
    changed.reserve(m_catchUp.rows.size());
    for (auto &[path, row] : m_catchUp.rows) {
        const auto stored = m_rows.find(path);
        if (stored == m_rows.end() || row.revision > stored->second.revision) {
            changed.push_back(std::move(row));
        }
    }
    m_catchUp = {};
    std::sort(changed.begin(), changed.end(), [](const SettingsRow &left, const SettingsRow &right) {
        return left.revision != right.revision ? left.revision < right.revision : left.path < right.path;
    });
    for (const SettingsRow &row : changed) {
        store(row);
    }
    m_revision = revision;
    compactLog();
    return changed;
}

void SettingsStore::store(const SettingsRow &row)
{
    const auto [position, isNew] = m_rows.try_emplace(row.path);
    StoredRow &stored = position->second;
    if (!isNew) {
        m_hash ^= rowHash(row.path, stored.content, stored.revision, stored.isDeleted);
    }
    stored = {row.content, row.revision, row.isDeleted};
    m_hash ^= rowHash(row.path, stored.content, stored.revision, stored.isDeleted);
    m_log.push_back({row.revision, position});
}

void SettingsStore::compactLog()
{
    if (m_log.size() < minimumLogSize || m_log.size() < 2 * m_rows.size()) {
        return;
    }
    std::erase_if(m_log, [](const LogEntry &entry) { return entry.row->second.revision != entry.revision; });
}

} // namespace Verbena::Decisions
