#pragma once

#include <decisions/spread/randomsource.h>
#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <http/httpclient.h>
#include <http/httpserver.h>
#include <store/rowmirror.h>
#include <store/storeclockestimate.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief Asks other routers for rows when the store does not answer this one, and answers those who ask.
///
/// The store may turn single hosts away while it serves the rest. What a peer knows is what the store told it, with the store's own revisions, so that
/// nothing has to be agreed on.
class PeerRows : public Store::RowSource, private Http::HttpHandler
{
public:
    /// \brief Listens for peers at \a address, port \a port; peers listen at the same port. Errors: Unavailable, Internal.
    static Core::Result<std::unique_ptr<PeerRows>> create(
        EventLoop::Loop &loop, const std::string &address, std::uint16_t port, Store::RowSource &store, std::uint64_t seed);

    /// \brief Another router was heard of at \a address, an IP number.
    void addPeer(const std::string &address);

    /// \brief What this process knows, for those who ask.
    Store::RowMirror &mirror();

    /// \brief Asks the router at \a peer what changed; it waits for a change until \a waitEnd. Errors: Unavailable, also if the peer has not heard of the store
    /// for longer than a moment or knows less than the asker.
    void awaitFresh(const std::string &peer, const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, PageCallback done);

    void readTable(const std::string &table, Core::TimePoint deadline, PageCallback done) override;
    void awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done) override;

private:
    PeerRows(EventLoop::Loop &loop,
        std::unique_ptr<Http::HttpClient> client,
        const std::string &address,
        std::uint16_t port,
        Store::RowSource &store,
        std::uint64_t seed);
    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;
    // What the store said of a table last, and when.
    struct Heard
    {
        std::uint64_t revision = 0;
        Core::TimePoint at;
    };

    // A peer that waits for a change.
    struct Waiting
    {
        std::shared_ptr<Http::HttpExchange> exchange;
        std::string table;
        std::uint64_t after = 0;
        Core::TimePoint deadline;
    };

    PageCallback hearing(const std::string &table, PageCallback done);
    std::optional<Store::StoreTime> storeNow() const;
    bool isFresh(const std::string &table) const;
    bool answer(const Waiting &waiting);
    void answerWaiting();
    void askPeer(const std::string &table, std::uint64_t revision, const Core::Error &failure, PageCallback done);

    EventLoop::Loop &m_loop;
    std::unique_ptr<Http::HttpClient> m_client;
    std::string m_address;
    std::uint16_t m_port;
    Store::RowSource &m_store;
    Decisions::RandomSource m_random;
    Store::RowMirror m_mirror;
    Store::StoreClockEstimate m_storeClock;
    std::set<std::string> m_peers;
    std::map<std::string, Heard> m_heard; ///< By table.
    std::vector<Waiting> m_waiting;
    EventLoop::Timer m_waitingTimer;
    std::unique_ptr<Http::HttpServer> m_server;
};

} // namespace Verbena::Relay
