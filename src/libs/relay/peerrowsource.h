#pragma once

#include "peertable.h"

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

/// \brief Row source that requests rows from other routers when the store does not answer, and answers their requests.
///
/// The store may refuse requests of single hosts while it serves the others. A peer's rows come from the store with the store's own revisions, so that the
/// routers need not agree on anything.
class PeerRowSource : public Store::RowSource, private Http::HttpHandler
{
public:
    /// \brief Creates a source that listens for peers at \a address, port \a port; peers listen at the same port. Errors: Unavailable, Internal.
    static Core::Result<std::unique_ptr<PeerRowSource>> create(EventLoop::Loop &loop,
        const std::string &address,
        std::uint16_t port,
        Store::RowSource &store,
        std::uint64_t seed,
        const Store::FollowTimes &times = Store::FollowTimes::within(std::chrono::seconds(3)));

    /// \brief Returns the other routers to which requests can be sent.
    PeerTable &peerTable();

    /// \brief Returns the copy of the tables from which requests are answered.
    Store::RowMirror &mirror();

    /// \brief Requests changes after \a revision from the router at \a peer, which waits for one until \a waitEnd. Errors: Unavailable, also if the peer's copy
    /// was not verified recently or is older than \a revision.
    void awaitFresh(const std::string &peer, const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, PageCallback done);

    /// \brief Requests the changes after \a revision, or the whole table for 0, from the router at \a peer without waiting. The page has isHistoryLost set if
    /// the peer no longer has these changes. Errors: Unavailable, also if the peer's copy is older than \a revision.
    void fetch(const std::string &peer, const std::string &table, std::uint64_t revision, PageCallback done);

    void readTable(const std::string &table, Core::TimePoint deadline, PageCallback done) override;
    void awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done) override;

private:
    PeerRowSource(EventLoop::Loop &loop,
        std::unique_ptr<Http::HttpClient> client,
        const std::string &address,
        std::uint16_t port,
        Store::RowSource &store,
        std::uint64_t seed,
        const Store::FollowTimes &times);
    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;
    // Request of a peer that waits for a change.
    struct PendingRequest
    {
        std::shared_ptr<Http::HttpExchange> exchange;
        std::string table;
        std::uint64_t after = 0;
        Core::TimePoint deadline;
    };

    PageCallback recordingClock(PageCallback done);
    std::optional<Store::StoreTime> storeNow() const;
    std::optional<std::chrono::milliseconds> age(const std::string &table) const;
    void sendRequest(const std::string &peer, const std::string &query, std::uint64_t revision, Core::TimePoint deadline, PageCallback done);
    bool tryAnswer(const PendingRequest &pending);
    void answerPending();
    void requestFromPeer(const std::string &table, std::uint64_t revision, const Core::Error &failure, PageCallback done);

    EventLoop::Loop &m_loop;
    std::unique_ptr<Http::HttpClient> m_client;
    std::uint16_t m_port;
    Store::RowSource &m_store;
    Store::FollowTimes m_times;
    Decisions::RandomSource m_random;
    Store::RowMirror m_mirror;
    Store::StoreClockEstimate m_storeClock;
    PeerTable m_peerTable;
    std::vector<PendingRequest> m_pending;
    EventLoop::Timer m_pendingTimer;
    std::unique_ptr<Http::HttpServer> m_server;
};

} // namespace Verbena::Relay
