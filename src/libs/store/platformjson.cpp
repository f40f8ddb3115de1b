#include "platformjson.h"

#include <json/jsontext.h>

namespace Verbena::Store {

namespace {

using nlohmann::json;

// Converts the exception by which the JSON library reports a wrong type into an error.
template<typename T, typename Decode>
Core::Result<T> decode(const std::string &text, Decode decodeValue)
{
    VERBENA_TRY(value, JsonText::parse(text, "platform.decode"));
    try {
        return T(decodeValue(value));
    } catch (const json::exception &failure) {
        return Core::Error{Core::ErrorCode::InvalidArgument, "platform.decode", "", failure.what()};
    }
}

template<typename T, typename DecodeItem>
std::vector<T> decodeList(const json &list, DecodeItem decodeItem)
{
    std::vector<T> items;
    for (const json &item : list) {
        items.push_back(decodeItem(item));
    }
    return items;
}

TableRow rowFrom(const json &item)
{
    return {item.at("key").get<std::string>(), item.at("value").get<std::string>(), item.at("revision").get<std::uint64_t>(), item.value("deleted", false)};
}

RowWrite writeFrom(const json &item)
{
    RowWrite write{item.at("key").get<std::string>(), std::nullopt, std::nullopt};
    if (item.contains("value")) {
        write.value = item.at("value").get<std::string>();
    }
    if (item.contains("expected_revision")) {
        write.expectedRevision = item.at("expected_revision").get<std::uint64_t>();
    }
    return write;
}

HostEntry hostFrom(const json &item)
{
    return {item.at("name").get<std::string>(),
        item.value("address", ""),
        item.value("failure_domain", ""),
        item.value("incarnation", std::uint64_t(0)),
        item.value("leaving", false)};
}

bool isUtf8(const std::string &text)
{
    try {
        return !json(text).dump().empty();
    } catch (const json::exception &) {
        return false;
    }
}

} // namespace

bool isEncodable(const std::vector<RowWrite> &writes)
{
    return std::all_of(writes.begin(), writes.end(), [](const RowWrite &write) { return isUtf8(write.key) && isUtf8(write.value.value_or("")); });
}

std::string encodeRows(const std::vector<TableRow> &rows)
{
    json list = json::array();
    for (const TableRow &row : rows) {
        list.push_back({{"key", row.key}, {"value", row.value}, {"revision", row.revision}, {"deleted", row.isDeleted}});
    }
    return json{{"rows", list}}.dump();
}

Core::Result<std::vector<TableRow>> decodeRows(const std::string &text)
{
    return decode<std::vector<TableRow>>(text, [](const json &value) { return decodeList<TableRow>(value.at("rows"), &rowFrom); });
}

std::string encodeWrites(const std::vector<RowWrite> &writes)
{
    json list = json::array();
    for (const RowWrite &write : writes) {
        json item{{"key", write.key}};
        if (write.value) {
            item["value"] = *write.value;
        }
        if (write.expectedRevision) {
            item["expected_revision"] = *write.expectedRevision;
        }
        list.push_back(std::move(item));
    }
    return json{{"writes", list}}.dump();
}

Core::Result<std::vector<RowWrite>> decodeWrites(const std::string &text)
{
    return decode<std::vector<RowWrite>>(text, [](const json &value) { return decodeList<RowWrite>(value.at("writes"), &writeFrom); });
}

std::string encodeHosts(const std::vector<HostEntry> &hosts)
{
    json list = json::array();
    for (const HostEntry &host : hosts) {
        list.push_back({{"name", host.name},
            {"address", host.address},
            {"failure_domain", host.failureDomain},
            {"incarnation", host.incarnation},
            {"leaving", host.isLeaving}});
    }
    return json{{"hosts", list}}.dump();
}

Core::Result<std::vector<HostEntry>> decodeHosts(const std::string &text)
{
    return decode<std::vector<HostEntry>>(text, [](const json &value) { return decodeList<HostEntry>(value.at("hosts"), &hostFrom); });
}

std::string encodeKeys(const std::vector<std::string> &keys)
{
    return json{{"keys", keys}}.dump();
}

Core::Result<std::vector<std::string>> decodeKeys(const std::string &text)
{
    return decode<std::vector<std::string>>(text, [](const json &value) { return value.at("keys").get<std::vector<std::string>>(); });
}

std::string encodeScan(const ScanArguments &arguments)
{
    return json{{"prefix", arguments.prefix}, {"since_revision", arguments.sinceRevision}, {"limit", arguments.limit}}.dump();
}

Core::Result<ScanArguments> decodeScan(const std::string &text)
{
    return decode<ScanArguments>(text, [](const json &value) {
        return ScanArguments{value.at("prefix").get<std::string>(), value.at("since_revision").get<std::uint64_t>(), value.at("limit").get<std::size_t>()};
    });
}

std::string encodeRevision(std::uint64_t revision)
{
    return json{{"revision", revision}}.dump();
}

Core::Result<std::uint64_t> decodeRevision(const std::string &text)
{
    return decode<std::uint64_t>(text, [](const json &value) { return value.at("revision").get<std::uint64_t>(); });
}

} // namespace Verbena::Store
