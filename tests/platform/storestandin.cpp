#include "storestandin.h"

#include <eventloop/loop.h>

#include <sodium.h>

#include <algorithm>

namespace Verbena::Test {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

std::string encodeBase64(const std::string &bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), sodium_base64_VARIANT_ORIGINAL);
    text.pop_back();
    return text;
}

constexpr milliseconds tick{20};

} // namespace

StoreStandin::StoreStandin(EventLoop::Loop &loop, const std::string &address)
    : m_loop(loop)
    , m_host(address)
    , m_start(loop.now())
    , m_timer(loop, [this] { tellFollowers(); })
{
    Http::HttpServerOptions options;
    options.address = address;
    m_server = std::move(Http::HttpServer::create(loop, options, *this).value());
    m_timer.startAt(loop.now() + tick);
}

std::string StoreStandin::address() const
{
    return m_host + ':' + std::to_string(m_server->port());
}

void StoreStandin::setMode(Mode mode)
{
    m_mode = mode;
}

void StoreStandin::put(const std::string &table, const std::string &key, const json &value)
{
    m_tables[table][key] = {value.dump(), ++m_version, false, ""};
    tellFollowers();
}

void StoreStandin::putEncoded(const std::string &table, const std::string &key, const std::string &encoded)
{
    m_tables[table][key] = {"", ++m_version, false, encoded};
    tellFollowers();
}

void StoreStandin::remove(const std::string &table, const std::string &key)
{
    m_tables[table][key] = {"", ++m_version, true, ""};
    tellFollowers();
}

std::vector<std::string> StoreStandin::keys(const std::string &table) const
{
    std::vector<std::string> keys;
    const auto rows = m_tables.find(table);
    if (rows == m_tables.end()) {
        return keys;
    }
    for (const auto &[key, row] : rows->second) {
        if (!row.isDeleted) {
            keys.push_back(key);
        }
    }
    return keys;
}

void StoreStandin::compact()
{
    m_compacted = m_version;
}

int StoreStandin::callCount(const std::string &path) const
{
    const auto found = m_calls.find(path);
    return found == m_calls.end() ? 0 : found->second;
}

std::size_t StoreStandin::followerCount(const std::string &table) const
{
    return static_cast<std::size_t>(
        std::count_if(m_followers.begin(), m_followers.end(), [&table](const Follower &follower) { return follower.table == table; }));
}

std::uint64_t StoreStandin::version() const
{
    return m_version;
}

void StoreStandin::handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    ++m_calls[exchange->path()];
    if (m_mode == Mode::Busy) {
        exchange->respond(503, {}, "");
    } else if (m_mode == Mode::Silent) {
        m_unanswered.push_back(exchange);
    } else if (exchange->path() == "/rows-get") {
        get(exchange);
    } else if (exchange->path() == "/rows-feed") {
        feed(exchange);
    } else if (exchange->path() == "/rows-tx") {
        transact(exchange);
    } else {
        exchange->respond(404, {}, "");
    }
}

json StoreStandin::rowJson(const std::string &table, const std::string &key, const Row &row) const
{
    json object{{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
    if (row.isDeleted) {
        object["deleted"] = true;
    } else {
        object["value"] = row.encoded.empty() ? encodeBase64(row.value) : row.encoded;
    }
    return object;
}

json StoreStandin::page(std::vector<json> rows) const
{
    return {{"rows", std::move(rows)}, {"morePages", false}, {"ver", m_version}, {"nowMs", nowMs()}};
}

std::int64_t StoreStandin::nowMs() const
{
    return std::chrono::duration_cast<milliseconds>(m_loop.now() - m_start).count() + 1;
}

void StoreStandin::get(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    const std::string table = exchange->queryArgument("table").value_or("");
    std::vector<json> rows;
    const std::string from = exchange->queryArgument("from").value_or("");
    const std::optional<std::string> to = exchange->queryArgument("to");
    for (const auto &[key, row] : m_tables[table]) {
        if (!row.isDeleted && row.version > 0 && key >= from && (!to.has_value() || key < *to)) {
            rows.push_back(rowJson(table, key, row));
        }
    }
    respond(exchange, 200, page(std::move(rows)));
}

std::vector<json> StoreStandin::changes(const std::string &table, std::uint64_t after) const
{
    std::vector<std::pair<std::uint64_t, json>> changed;
    const auto found = m_tables.find(table);
    if (found != m_tables.end()) {
        for (const auto &[key, row] : found->second) {
            if (row.version > after) {
                changed.emplace_back(row.version, rowJson(table, key, row));
            }
        }
    }
    std::sort(changed.begin(), changed.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<json> rows;
    rows.reserve(changed.size());
    for (auto &[version, row] : changed) {
        rows.push_back(std::move(row));
    }
    return rows;
}

void StoreStandin::feed(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    const std::string table = exchange->queryArgument("table").value_or("");
    const std::uint64_t after = std::stoull(exchange->queryArgument("after").value_or("0"));
    if (after < m_compacted) {
        respond(exchange, 410, json::object());
        return;
    }
    const milliseconds wait(std::stoi(exchange->queryArgument("waitMs").value_or("0")));
    m_followers.push_back({exchange, table, after, m_loop.now() + wait});
    tellFollowers();
}

void StoreStandin::transact(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    const json body = json::parse(exchange->body());
    std::vector<json> different;
    for (const json &expected : body.value("expectedRev", json::array())) {
        const std::string table = expected.at("table").get<std::string>();
        const std::string key = expected.at("key").get<std::string>();
        const Row row = m_tables[table][key];
        const std::uint64_t version = row.isDeleted ? 0 : row.version;
        if (version != expected.at("ver").get<std::uint64_t>()) {
            different.push_back(rowJson(table, key, row));
        }
    }
    if (!different.empty()) {
        respond(exchange, 412, page(std::move(different)));
        return;
    }
    ++m_version;
    for (const json &entry : body.value("put", json::array())) {
        m_tables[entry.at("table").get<std::string>()][entry.at("key").get<std::string>()] = {"", m_version, false, entry.at("value").get<std::string>()};
    }
    for (const json &entry : body.value("remove", json::array())) {
        m_tables[entry.at("table").get<std::string>()][entry.at("key").get<std::string>()] = {"", m_version, true, ""};
    }
    respond(exchange, 200, {{"ver", m_version}, {"nowMs", nowMs()}});
    tellFollowers();
}

void StoreStandin::respond(const std::shared_ptr<Http::HttpExchange> &exchange, int status, const json &body)
{
    if (m_mode == Mode::Lossy) {
        m_unanswered.push_back(exchange);
        return;
    }
    exchange->respond(status, {{"Content-Type", "application/json"}}, body.dump());
}

void StoreStandin::tellFollowers()
{
    const auto isTold = [this](const Follower &follower) {
        if (m_mode != Mode::Well) {
            return false;
        }
        std::vector<json> rows = changes(follower.table, follower.after);
        if (rows.empty() && m_loop.now() < follower.deadline) {
            return false;
        }
        respond(follower.exchange, 200, page(std::move(rows)));
        return true;
    };
    m_followers.erase(std::remove_if(m_followers.begin(), m_followers.end(), isTold), m_followers.end());
    m_timer.startAt(m_loop.now() + tick);
}

} // namespace Verbena::Test
