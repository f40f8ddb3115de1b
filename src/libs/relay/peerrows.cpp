#include "peerrows.h"

#include "relayevents.h"

#include <http/bodycollector.h>
#include <observe/eventlog.h>

#include <verbena.pb.h>

namespace Verbena::Relay {

namespace {

constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr const char *path = "/rows";
constexpr const char *step = "relay.peer";

// Peers are a millisecond away; one that takes longer is gone, and another one is asked with the next question.
constexpr std::chrono::milliseconds answerTime{400};

// More than a deployment has in one failure domain; a bound on what is remembered of news from anywhere.
constexpr std::size_t mostPeers = 256;

std::string encode(const Store::RowPage &page, std::uint64_t since)
{
    verbena::wire::SettingsPush push;
    push.set_highest_revision(page.revision);
    push.set_since_revision(since);
    push.set_covered_revision(page.revision);
    for (const Store::TableRow &row : page.rows) {
        verbena::wire::SettingsRow &entry = *push.add_rows();
        entry.set_path(row.key);
        entry.set_revision(row.revision);
        entry.set_deleted(row.isDeleted);
        entry.set_content(row.value);
    }
    return push.SerializeAsString();
}

Core::Result<Store::RowPage> decode(const std::string &body, const std::string &peer)
{
    verbena::wire::SettingsPush push;
    if (!push.ParseFromString(body)) {
        return Core::Error{Core::ErrorCode::InvalidArgument, step, peer, "The peer's answer is no message of ours."};
    }
    Store::RowPage page;
    page.revision = push.covered_revision();
    page.isSecondHand = true;
    for (const verbena::wire::SettingsRow &entry : push.rows()) {
        page.rows.push_back({entry.path(), entry.content(), entry.revision(), entry.deleted()});
    }
    return page;
}

} // namespace

Core::Result<std::unique_ptr<PeerRows>> PeerRows::create(
    EventLoop::Loop &loop, const std::string &address, std::uint16_t port, Store::RowSource &store, std::uint64_t seed)
{
    auto client = Http::HttpClient::create(loop);
    if (!client) {
        return client.error();
    }
    std::unique_ptr<PeerRows> rows(new PeerRows(loop, std::move(client.value()), address, port, store, seed));
    Http::HttpServerOptions options;
    options.address = address;
    options.port = port;
    auto server = Http::HttpServer::create(loop, options, *rows);
    if (!server) {
        return server.error();
    }
    rows->m_server = std::move(server.value());
    return rows;
}

PeerRows::PeerRows(EventLoop::Loop &loop,
    std::unique_ptr<Http::HttpClient> client,
    const std::string &address,
    std::uint16_t port,
    Store::RowSource &store,
    std::uint64_t seed)
    : m_loop(loop)
    , m_client(std::move(client))
    , m_address(address)
    , m_port(port)
    , m_store(store)
    , m_random(seed)
{
}

void PeerRows::addPeer(const std::string &address)
{
    if (address != m_address && m_peers.size() < mostPeers) {
        m_peers.insert(address);
    }
}

Store::RowMirror &PeerRows::mirror()
{
    return m_mirror;
}

void PeerRows::handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    const std::string table = exchange->queryArgument("table").value_or("");
    const std::uint64_t after = std::strtoull(exchange->queryArgument("after").value_or("0").c_str(), nullptr, 10);
    const Store::RowPage page = m_mirror.since(table, after);
    exchange->respond(page.isHistoryLost ? statusGone : statusOk, {{"Content-Type", "application/x-protobuf"}}, encode(page, after));
}

void PeerRows::readTable(const std::string &table, Core::TimePoint deadline, PageCallback done)
{
    m_store.readTable(table, deadline, [this, table, done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page) {
            done(std::move(page));
        } else {
            askPeer(table, 0, page.error(), done);
        }
    });
}

void PeerRows::awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done)
{
    m_store.awaitChanges(table, revision, waitEnd, deadline, [this, table, revision, done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page) {
            done(std::move(page));
        } else {
            askPeer(table, revision, page.error(), done);
        }
    });
}

// Only a peer that knows more than the asker has been served by the store since; any other answer leaves the store's failure standing.
void PeerRows::askPeer(const std::string &table, std::uint64_t revision, const Core::Error &failure, PageCallback done)
{
    if (m_peers.empty()) {
        done(failure);
        return;
    }
    const std::string peer = *std::next(m_peers.begin(), static_cast<long>(m_random.next() % m_peers.size()));
    Http::HttpCall call;
    call.url = "http://" + peer + ':' + std::to_string(m_port) + path + "?table=" + table + "&after=" + std::to_string(revision);
    call.deadline = m_loop.now() + answerTime;
    const auto take = [table, revision, peer, failure, done = std::move(done)](const Core::Result<Http::HttpReply> &reply) {
        if (!reply || reply.value().status != statusOk) {
            done(failure);
            return;
        }
        auto page = decode(reply.value().body, peer);
        if (!page || page.value().revision <= revision) {
            done(page ? failure : page.error());
            return;
        }
        Observe::log(peerAsked, {{"table", table}, {"peer", peer}, {"revision", std::to_string(page.value().revision)}, {"after", std::to_string(revision)}});
        done(std::move(page));
    };
    m_client->start(call, std::make_shared<Http::BodyCollector>(take));
}

} // namespace Verbena::Relay
