#pragma once

#include <decisions/spread/randomsource.h>
#include <eventloop/loop.h>
#include <http/httpclient.h>
#include <http/httpserver.h>
#include <store/rowmirror.h>

#include <memory>
#include <set>
#include <string>

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
    void askPeer(const std::string &table, std::uint64_t revision, const Core::Error &failure, PageCallback done);

    EventLoop::Loop &m_loop;
    std::unique_ptr<Http::HttpClient> m_client;
    std::string m_address;
    std::uint16_t m_port;
    Store::RowSource &m_store;
    Decisions::RandomSource m_random;
    Store::RowMirror m_mirror;
    std::set<std::string> m_peers;
    std::unique_ptr<Http::HttpServer> m_server;
};

} // namespace Verbena::Relay
