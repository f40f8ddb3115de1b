#pragma once

#include <eventloop/timer.h>
#include <http/httpserver.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief Fake of the platform's store with versioned rows, a feed of changes, transactions, and faults that a test switches on.
class StoreStandin : public Http::HttpHandler
{
public:
    /// \brief How the store handles a call.
    enum class Mode {
        Well,
        Busy, ///< Answers 503 and does nothing.
        Silent, ///< Does nothing and never answers.
        Lossy, ///< Carries out the call and never answers.
    };

    explicit StoreStandin(EventLoop::Loop &loop, const std::string &address = "127.0.0.1");

    /// \brief Returns the address, IP:PORT.
    std::string address() const;

    void setMode(Mode mode);

    /// \brief Writes a row as the operator or a backend server would.
    void put(const std::string &table, const std::string &key, const nlohmann::json &value);
    void remove(const std::string &table, const std::string &key);

    /// \brief Returns the keys of the rows of \a table.
    std::vector<std::string> keys(const std::string &table) const;

    /// \brief Writes a row whose value on the wire is \a encoded, which may be invalid.
    void putEncoded(const std::string &table, const std::string &key, const std::string &encoded);

    /// \brief Drops the history of changes, so that followers have to read whole tables.
    void compact();

    /// \brief Returns the number of calls received for \a path.
    int callCount(const std::string &path) const;

    /// \brief Returns the number of long polls that wait for changes of \a table.
    std::size_t followerCount(const std::string &table) const;

    std::uint64_t version() const;

    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
        std::string encoded; ///< Encoded value to send instead of value; empty for none.
    };

    struct Follower
    {
        std::shared_ptr<Http::HttpExchange> exchange;
        std::string table;
        std::uint64_t after;
        Core::TimePoint deadline;
    };

    nlohmann::json rowJson(const std::string &table, const std::string &key, const Row &row) const;
    std::int64_t nowMs() const;
    nlohmann::json page(std::vector<nlohmann::json> rows) const;
    std::vector<nlohmann::json> changes(const std::string &table, std::uint64_t after) const;
    void get(const std::shared_ptr<Http::HttpExchange> &exchange);
    void feed(const std::shared_ptr<Http::HttpExchange> &exchange);
    void transact(const std::shared_ptr<Http::HttpExchange> &exchange);
    void respond(const std::shared_ptr<Http::HttpExchange> &exchange, int status, const nlohmann::json &body);
    void tellFollowers();

    EventLoop::Loop &m_loop;
    std::string m_host;
    Core::TimePoint m_start;
    std::unique_ptr<Http::HttpServer> m_server;
    EventLoop::Timer m_timer;
    Mode m_mode = Mode::Well;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::vector<Follower> m_followers;
    std::vector<std::shared_ptr<Http::HttpExchange>> m_unanswered; ///< Calls without an answer, kept open.
    std::map<std::string, int> m_calls;
    std::uint64_t m_version = 0;
    std::uint64_t m_compacted = 0;
};

} // namespace Verbena::Test
