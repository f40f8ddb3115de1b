#include "changehistory.h"

#include <json/jsontext.h>

#include <ctime>

namespace Verbena::Operator {

namespace {

using Json = nlohmann::json;

constexpr const char *historyPrefix = "history/";

// The separator after the path cannot be part of a name, so rows below the path do not belong to the ring.
std::string ringPrefix(const std::string &path)
{
    return historyPrefix + path + "#";
}

std::string utcText(Core::WallTime moment)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(moment);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return std::string(text, length);
}

HistoryEntry decodeEntry(const std::string &path, const Store::TableRow &row)
{
    HistoryEntry entry;
    entry.path = path;
    entry.revision = row.revision;
    const Json json = Json::parse(row.value, nullptr, false);
    entry.author = JsonText::textOrEmpty(json, "by");
    entry.changedAt = JsonText::textOrEmpty(json, "at");
    entry.changeId = JsonText::textOrEmpty(json, "change");
    entry.content = JsonText::textOrEmpty(json, "content");
    entry.isDeleted = json.is_object() && json.contains("deleted");
    return entry;
}

Json encodeEntry(const RowChange &change, const ChangeStamp &stamp)
{
    Json json{{"by", stamp.author}, {"at", utcText(stamp.changedAt)}, {"change", stamp.changeId}};
    if (change.after.has_value()) {
        json["content"] = *change.after;
    } else {
        json["deleted"] = true;
    }
    return json;
}

} // namespace

ChangeHistory::ChangeHistory(TreeTable &table)
    : m_table(table)
{
}

Core::Result<std::vector<HistoryEntry>> ChangeHistory::entries(const std::string &path)
{
    VERBENA_TRY(rows, m_table.scan(ringPrefix(path), 0, entriesPerRow));
    std::vector<HistoryEntry> found;
    for (const Store::TableRow &row : rows) {
        found.push_back(decodeEntry(path, row));
    }
    return found;
}

Core::Result<Store::RowWrite> ChangeHistory::record(const RowChange &change, const ChangeStamp &stamp)
{
    VERBENA_TRY(rows, m_table.scan(ringPrefix(change.path), 0, entriesPerRow));
    // Slots are filled in order; then the oldest one, which has the lowest revision, is overwritten.
    const std::string slot = rows.size() < entriesPerRow ? ringPrefix(change.path) + std::to_string(rows.size()) : rows.front().key;
    return Store::RowWrite{slot, encodeEntry(change, stamp).dump(-1, ' ', false, Json::error_handler_t::replace), std::nullopt};
}

} // namespace Verbena::Operator
