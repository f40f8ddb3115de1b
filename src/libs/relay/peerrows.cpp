#include "peerrows.h"

#include "relayevents.h"
#include "storetimecodec.h"

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

// How soon a peer that waits hears of a change.
constexpr std::chrono::milliseconds waitingTick{50};

// Peers that wait at once; more than a deployment has beside the elected ones, twice.
constexpr std::size_t mostWaiting = 8192;

// What a peer may ask to wait at most.
constexpr std::chrono::milliseconds longestWait{3000};

std::string encode(const Store::RowPage &page, std::uint64_t since, std::chrono::microseconds age, const std::optional<Store::StoreTime> &storeNow)
{
    verbena::wire::SettingsPush push;
    push.set_store_now_ms(encodeStoreTime(storeNow));
    push.set_verified_at_ms(encodeStoreTime(page.verifiedAt));
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
        entry.set_committed_after_ms(encodeStoreTime(row.committedAfter));
    }
    return push.SerializeAsString();
}

Core::Result<Store::RowPage> decode(const std::string &body, const std::string &peer, Core::BootTime askedAt)
{
    verbena::wire::SettingsPush push;
    if (!push.ParseFromString(body)) {
        return Core::Error{Core::ErrorCode::InvalidArgument, step, peer, "The peer's answer is no message of ours."};
    }
    Store::RowPage page;
    page.revision = push.covered_revision();
    page.isFromPeer = true;
    page.verifiedAt = decodeStoreTime(push.verified_at_ms());
    if (const std::optional<Store::StoreTime> storeNow = decodeStoreTime(push.store_now_ms())) {
        page.clock = Store::StoreReading{*storeNow, askedAt};
    }
    for (const verbena::wire::SettingsRow &entry : push.rows()) {
        page.rows.push_back({entry.path(), entry.content(), entry.revision(), entry.deleted(), decodeStoreTime(entry.committed_after_ms())});
    }
    return page;
}

} // namespace

Core::Result<std::unique_ptr<PeerRows>> PeerRows::create(
    EventLoop::Loop &loop, const std::string &address, std::uint16_t port, Store::RowSource &store, std::uint64_t seed, const Store::FollowTimes &times)
{
    auto client = Http::HttpClient::create(loop);
    if (!client) {
        return client.error();
    }
    std::unique_ptr<PeerRows> rows(new PeerRows(loop, std::move(client.value()), address, port, store, seed, times));
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
    std::uint64_t seed,
    const Store::FollowTimes &times)
    : m_loop(loop)
    , m_client(std::move(client))
    , m_port(port)
    , m_store(store)
    , m_times(times)
    , m_random(seed)
    , m_book(address, 2 * times.digestPeriod)
    , m_waitingTimer(loop, [this] { answerWaiting(); })
{
}

PeerBook &PeerRows::book()
{
    return m_book;
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
        const Store::RowPage page = m_mirror.changesSince(table, after);
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

// How long ago the store may have acknowledged something that is not known here, at most.
std::optional<std::chrono::milliseconds> PeerRows::age(const std::string &table) const
{
    const std::optional<Store::StoreTime> verifiedAt = m_mirror.verifiedAt(table);
    return verifiedAt.has_value() ? m_storeClock.age(*verifiedAt, Core::BootClock::now()) : std::nullopt;
}

// False while there is nothing to tell yet.
bool PeerRows::answer(const Waiting &waiting)
{
    const Core::TimePoint now = m_loop.now();
    const std::optional<std::chrono::milliseconds> known = age(waiting.table);
    if (!known.has_value() || *known > m_times.sharedMaximumAge) {
        waiting.exchange->respond(statusBusy, {}, "");
        return true;
    }
    const Store::RowPage page = m_mirror.changesSince(waiting.table, waiting.after);
    if (page.isHistoryLost) {
        waiting.exchange->respond(statusGone, {}, "");
        return true;
    }
    if (page.rows.empty() && now < waiting.deadline) {
        return false;
    }
    waiting.exchange->respond(statusOk, {{"Content-Type", "application/x-protobuf"}}, encode(page, waiting.after, *known, storeNow()));
    return true;
}

void PeerRows::answerWaiting()
{
    std::erase_if(m_waiting, [this](const Waiting &waiting) { return answer(waiting); });
    if (!m_waiting.empty()) {
        m_waitingTimer.startAt(m_loop.now() + waitingTick);
    }
}

// Notes the store's clock in what it says itself.
Store::RowSource::PageCallback PeerRows::hearing(PageCallback done)
{
    return [this, askedAt = Core::BootClock::now(), done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page && page.value().answeredAt.has_value()) {
            page.value().clock = Store::StoreReading{*page.value().answeredAt, askedAt};
            m_storeClock.addReading(*page.value().clock);
        }
        done(std::move(page));
    };
}

void PeerRows::call(const std::string &peer, const std::string &question, std::uint64_t revision, Core::TimePoint deadline, PageCallback done)
{
    Http::HttpCall call;
    call.url = "http://" + peer + ':' + std::to_string(m_port) + path + question;
    call.deadline = deadline;
    const auto take = [this, revision, peer, askedAt = Core::BootClock::now(), done = std::move(done)](const Core::Result<Http::HttpReply> &reply) {
        const Core::Error unknowing{Core::ErrorCode::Unavailable, step, peer, "The peer does not know what the store says now."};
        if (reply && reply.value().status == statusGone) {
            done(Store::RowPage{{}, 0, true});
            return;
        }
        if (!reply || reply.value().status != statusOk) {
            done(reply ? unknowing : reply.error());
            return;
        }
        auto page = decode(reply.value().body, peer, askedAt);
        if (page && page.value().clock.has_value()) {
            m_storeClock.addReading(*page.value().clock);
        }
        if (page && page.value().revision < revision) {
            done(unknowing);
        } else {
            done(std::move(page));
        }
    };
    m_client->start(call, std::make_shared<Http::BodyCollector>(take));
}

void PeerRows::awaitFresh(const std::string &peer, const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, PageCallback done)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(waitEnd - m_loop.now());
    const std::string question = "?table=" + table + "&after=" + std::to_string(revision) + "&wait=" + std::to_string(std::max<std::int64_t>(0, wait.count()));
    const auto take = [peer, done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page && page.value().isHistoryLost) {
            done(Core::Error{Core::ErrorCode::Unavailable, step, peer, "The peer does not know what changed."});
            return;
        }
        if (page) {
            page.value().isFromPeer = false;
        }
        done(std::move(page));
    };
    call(peer, question, revision, waitEnd + m_times.peerAnswerTimeout, take);
}

void PeerRows::fetch(const std::string &peer, const std::string &table, std::uint64_t revision, PageCallback done)
{
    const std::string question = "?table=" + table + "&after=" + std::to_string(revision);
    const auto take = [table, peer, revision, done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page && !page.value().rows.empty()) {
            Observe::log(
                peerAsked, {{"table", table}, {"peer", peer}, {"revision", std::to_string(page.value().revision)}, {"after", std::to_string(revision)}});
        }
        done(std::move(page));
    };
    call(peer, question, revision, m_loop.now() + m_times.peerAnswerTimeout, take);
}

void PeerRows::readTable(const std::string &table, Core::TimePoint deadline, PageCallback done)
{
    m_store.readTable(table, deadline, [this, table, done = hearing(std::move(done))](Core::Result<Store::RowPage> page) {
        if (page) {
            done(std::move(page));
        } else {
            askPeer(table, 0, page.error(), done);
        }
    });
}

void PeerRows::awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done)
{
    m_store.awaitChanges(table, revision, waitEnd, deadline, [this, table, revision, done = hearing(std::move(done))](Core::Result<Store::RowPage> page) {
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
    const std::optional<std::string> peer = m_book.best(m_random, m_loop.now());
    if (!peer.has_value()) {
        done(failure);
        return;
    }
    const auto take = [revision, failure, done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page && !page.value().isHistoryLost && page.value().revision > revision) {
            done(std::move(page));
        } else {
            done(failure);
        }
    };
    fetch(*peer, table, revision, take);
}

} // namespace Verbena::Relay
