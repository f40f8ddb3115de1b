#pragma once

#include "peerbook.h"

#include <decisions/spread/randomsource.h>
#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <http/httpclient.h>
#include <http/httpserver.h>
#include <store/followtimes.h>
#include <store/rowmirror.h>
#include <store/storeclockestimate.h>

#include <memory>
#include <optional>
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
    static Core::Result<std::unique_ptr<PeerRows>> create(EventLoop::Loop &loop,
        const std::string &address,
        std::uint16_t port,
        Store::RowSource &store,
        std::uint64_t seed,
        const Store::FollowTimes &times = Store::FollowTimes::within(std::chrono::seconds(3)));

    /// \brief The other routers that can be asked.
    PeerBook &book();

    /// \brief What this process knows, for those who ask.
    Store::RowMirror &mirror();

    /// \brief Asks the router at \a peer what changed; it waits for a change until \a waitEnd. Errors: Unavailable, also if the peer has not heard of the store
    /// for longer than a moment or knows less than the asker.
    void awaitFresh(const std::string &peer, const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, PageCallback done);

    /// \brief Asks the router at \a peer what it knows of changes after \a revision, or of the whole table for 0; history is lost where it cannot tell them
    /// apart. Errors: Unavailable, also if it knows less than the asker.
    void fetch(const std::string &peer, const std::string &table, std::uint64_t revision, PageCallback done);

    void readTable(const std::string &table, Core::TimePoint deadline, PageCallback done) override;
    void awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done) override;

private:
    PeerRows(EventLoop::Loop &loop,
        std::unique_ptr<Http::HttpClient> client,
        const std::string &address,
        std::uint16_t port,
        Store::RowSource &store,
        std::uint64_t seed,
        const Store::FollowTimes &times);
    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;
    // A peer that waits for a change.
    struct Waiting
    {
        std::shared_ptr<Http::HttpExchange> exchange;
        std::string table;
        std::uint64_t after = 0;
        Core::TimePoint deadline;
    };

    PageCallback hearing(PageCallback done);
    std::optional<Store::StoreTime> storeNow() const;
    std::optional<std::chrono::milliseconds> age(const std::string &table) const;
    void call(const std::string &peer, const std::string &question, std::uint64_t revision, Core::TimePoint deadline, PageCallback done);
    bool answer(const Waiting &waiting);
    void answerWaiting();
    void askPeer(const std::string &table, std::uint64_t revision, const Core::Error &failure, PageCallback done);

    EventLoop::Loop &m_loop;
    std::unique_ptr<Http::HttpClient> m_client;
    std::uint16_t m_port;
    Store::RowSource &m_store;
    Store::FollowTimes m_times;
    Decisions::RandomSource m_random;
    Store::RowMirror m_mirror;
    Store::StoreClockEstimate m_storeClock;
    PeerBook m_book;
    std::vector<Waiting> m_waiting;
    EventLoop::Timer m_waitingTimer;
    std::unique_ptr<Http::HttpServer> m_server;
};

} // namespace Verbena::Relay
