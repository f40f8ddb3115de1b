#include "peerrows.h"

#include "relayevents.h"

#include <http/bodycollector.h>
#include <observe/eventlog.h>

#include <verbena.pb.h>

namespace Verbena::Relay {

namespace {

constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr int statusBusy = 503;
constexpr const char *path = "/rows";
constexpr const char *step = "relay.peer";

// Peers are a millisecond away; one that takes longer is gone, and another one is asked with the next question.
constexpr std::chrono::milliseconds answerTime{400};

// More than a deployment has in one failure domain; a bound on what is remembered of news from anywhere.
constexpr std::size_t mostPeers = 256;

// Of what an elected router knows, when it tells others: its longest question to the store, the pause before it, and the answer's way.
constexpr std::chrono::milliseconds freshTime{1600};

// How soon a peer that waits hears of a change.
constexpr std::chrono::milliseconds waitingTick{50};

// Peers that wait at once; more than a deployment has beside the elected ones, twice.
constexpr std::size_t mostWaiting = 8192;

// What a peer may ask to wait at most.
constexpr std::chrono::milliseconds longestWait{3000};

// Moments of the store's clock go over the wire plus 1, so that 0 says that there is none.
std::uint64_t encodeTime(const std::optional<Store::StoreTime> &moment)
{
    return moment.has_value() ? static_cast<std::uint64_t>(moment->time_since_epoch().count()) + 1 : 0;
}

std::optional<Store::StoreTime> decodeTime(std::uint64_t moment)
{
    return moment == 0 ? std::nullopt : std::optional(Store::StoreTime(std::chrono::milliseconds(moment - 1)));
}

std::string encode(const Store::RowPage &page, std::uint64_t since, std::chrono::microseconds age, const std::optional<Store::StoreTime> &storeNow)
{
    verbena::wire::SettingsPush push;
    push.set_store_now_ms(encodeTime(storeNow));
    push.set_current_at_ms(encodeTime(page.currentAt));
    push.set_highest_revision(page.revision);
    push.set_since_revision(since);
    push.set_covered_revision(page.revision);
    push.set_age_us(static_cast<std::uint64_t>(age.count()));
    for (const Store::TableRow &row : page.rows) {
        verbena::wire::SettingsRow &entry = *push.add_rows();
        entry.set_path(row.key);
        entry.set_revision(row.revision);
        entry.set_deleted(row.isDeleted);
        entry.set_content(row.value);
        entry.set_committed_after_ms(encodeTime(row.committedAfter));
    }
    return push.SerializeAsString();
}

struct PeerPage
{
    Store::RowPage page;
    std::chrono::microseconds age{0}; ///< Since the store said so.
};

Core::Result<PeerPage> decode(const std::string &body, const std::string &peer, Core::BootTime askedAt)
{
    verbena::wire::SettingsPush push;
    if (!push.ParseFromString(body)) {
        return Core::Error{Core::ErrorCode::InvalidArgument, step, peer, "The peer's answer is no message of ours."};
    }
    PeerPage answer;
    answer.page.revision = push.covered_revision();
    answer.page.isSecondHand = true;
    answer.age = std::chrono::microseconds(push.age_us());
    answer.page.currentAt = decodeTime(push.current_at_ms());
    if (const std::optional<Store::StoreTime> storeNow = decodeTime(push.store_now_ms())) {
        answer.page.clock = Store::StoreReading{*storeNow, askedAt};
    }
    for (const verbena::wire::SettingsRow &entry : push.rows()) {
        answer.page.rows.push_back({entry.path(), entry.content(), entry.revision(), entry.deleted(), decodeTime(entry.committed_after_ms())});
    }
    return answer;
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
    , m_waitingTimer(loop, [this] { answerWaiting(); })
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
    const std::optional<std::string> wait = exchange->queryArgument("wait");
    if (!wait.has_value()) {
        const Store::RowPage page = m_mirror.since(table, after);
        exchange->respond(page.isHistoryLost ? statusGone : statusOk, {{"Content-Type", "application/x-protobuf"}}, encode(page, after, {}, storeNow()));
        return;
    }
    const auto span = std::min<std::chrono::milliseconds>(longestWait, std::chrono::milliseconds(std::strtoul(wait->c_str(), nullptr, 10)));
    const Waiting waiting{exchange, table, after, m_loop.now() + span};
    if (!answer(waiting) && m_waiting.size() < mostWaiting) {
        m_waiting.push_back(waiting);
        m_waitingTimer.startAt(m_loop.now() + waitingTick);
    } else if (m_waiting.size() >= mostWaiting) {
        exchange->respond(statusBusy, {}, "");
    }
}

std::optional<Store::StoreTime> PeerRows::storeNow() const
{
    return m_storeClock.latest(Core::BootClock::now());
}

bool PeerRows::isFresh(const std::string &table) const
{
    const auto heard = m_heard.find(table);
    return heard != m_heard.end() && m_loop.now() < heard->second.at + freshTime;
}

// False while there is nothing to tell yet.
bool PeerRows::answer(const Waiting &waiting)
{
    const Core::TimePoint now = m_loop.now();
    if (!isFresh(waiting.table)) {
        waiting.exchange->respond(statusBusy, {}, "");
        return true;
    }
    Store::RowPage page = m_mirror.since(waiting.table, waiting.after);
    if (page.isHistoryLost) {
        waiting.exchange->respond(statusGone, {}, "");
        return true;
    }
    if (page.rows.empty() && now < waiting.deadline) {
        return false;
    }
    const Heard &heard = m_heard.at(waiting.table);
    page.revision = std::max(page.revision, heard.revision);
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(now - heard.at);
    waiting.exchange->respond(statusOk, {{"Content-Type", "application/x-protobuf"}}, encode(page, waiting.after, age, storeNow()));
    return true;
}

void PeerRows::answerWaiting()
{
    std::erase_if(m_waiting, [this](const Waiting &waiting) { return answer(waiting); });
    if (!m_waiting.empty()) {
        m_waitingTimer.startAt(m_loop.now() + waitingTick);
    }
}

// Notes what the store itself says, once its consumer has taken it.
Store::RowSource::PageCallback PeerRows::hearing(const std::string &table, PageCallback done)
{
    return [this, table, askedAt = Core::BootClock::now(), done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page && page.value().saidAt.has_value()) {
            page.value().clock = Store::StoreReading{*page.value().saidAt, askedAt};
            m_storeClock.note(*page.value().clock);
        }
        if (!page || page.value().isHistoryLost || page.value().isSecondHand) {
            done(std::move(page));
            return;
        }
        const std::uint64_t revision = page.value().revision;
        done(std::move(page));
        Heard &heard = m_heard[table];
        heard = {std::max(heard.revision, revision), m_loop.now()};
    };
}

void PeerRows::awaitFresh(const std::string &peer, const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, PageCallback done)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(waitEnd - m_loop.now());
    Http::HttpCall call;
    call.url = "http://" + peer + ':' + std::to_string(m_port) + path + "?table=" + table + "&after=" + std::to_string(revision)
        + "&wait=" + std::to_string(std::max<std::int64_t>(0, wait.count()));
    call.deadline = waitEnd + answerTime;
    const auto take = [this, table, revision, peer, askedAt = Core::BootClock::now(), done = std::move(done)](const Core::Result<Http::HttpReply> &reply) {
        const Core::Error stale{Core::ErrorCode::Unavailable, step, peer, "The peer does not know what the store says now."};
        if (!reply || reply.value().status != statusOk) {
            done(reply ? stale : reply.error());
            return;
        }
        auto answer = decode(reply.value().body, peer, askedAt);
        if (!answer || answer.value().page.revision < revision) {
            done(answer ? stale : answer.error());
            return;
        }
        answer.value().page.isSecondHand = false;
        const std::uint64_t covered = answer.value().page.revision;
        const Core::TimePoint saidAt = m_loop.now() - answer.value().age;
        done(std::move(answer.value().page));
        Heard &heard = m_heard[table];
        heard = {std::max(heard.revision, covered), std::max(heard.at, saidAt)};
    };
    m_client->start(call, std::make_shared<Http::BodyCollector>(take));
}

void PeerRows::readTable(const std::string &table, Core::TimePoint deadline, PageCallback done)
{
    m_store.readTable(table, deadline, [this, table, done = hearing(table, std::move(done))](Core::Result<Store::RowPage> page) {
        if (page) {
            done(std::move(page));
        } else {
            askPeer(table, 0, page.error(), done);
        }
    });
}

void PeerRows::awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done)
{
    m_store.awaitChanges(
        table, revision, waitEnd, deadline, [this, table, revision, done = hearing(table, std::move(done))](Core::Result<Store::RowPage> page) {
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
    const auto take = [table, revision, peer, failure, askedAt = Core::BootClock::now(), done = std::move(done)](const Core::Result<Http::HttpReply> &reply) {
        if (!reply || reply.value().status != statusOk) {
            done(failure);
            return;
        }
        auto answer = decode(reply.value().body, peer, askedAt);
        if (!answer || answer.value().page.revision <= revision) {
            done(answer ? failure : answer.error());
            return;
        }
        const std::uint64_t covered = answer.value().page.revision;
        Observe::log(peerAsked, {{"table", table}, {"peer", peer}, {"revision", std::to_string(covered)}, {"after", std::to_string(revision)}});
        done(std::move(answer.value().page));
    };
    m_client->start(call, std::make_shared<Http::BodyCollector>(take));
}

} // namespace Verbena::Relay
