#include "peerrowsource.h"

#include "relayevents.h"
#include "storetimecodec.h"

#include <http/bodycollector.h>
#include <observe/eventlog.h>

#include <verbena.pb.h>

#include <algorithm>

namespace Verbena::Relay {

namespace {

constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr int statusBusy = 503;
constexpr const char *path = "/rows";
constexpr const char *step = "relay.peer";

// Maximum delay until a peer with a pending request is sent a change.
constexpr std::chrono::milliseconds pendingCheckInterval{50};

// Maximum number of pending requests; more than twice the number of routers that are not elected in any deployment.
constexpr std::size_t maximumPendingRequests = 8192;

// Requests of peers are one short line and have no body; each connection may take this much at once.
constexpr std::size_t maximumHeadBytes = 8 * 1024;

// Maximum time that a peer may request to wait.
constexpr std::chrono::milliseconds maximumWait{3000};

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

// The store's clock cannot stand before a time that the store has named. Which of the two is wrong does not show, so no time of the page is believed.
void removeContradictoryTimes(Store::RowPage &page)
{
    const auto isAfterClock = [&page](const std::optional<Store::StoreTime> &time) {
        return page.clock.has_value() && time > page.clock->storeTime;
    };
    const bool isAnyRowAfterClock
        = std::any_of(page.rows.begin(), page.rows.end(), [&isAfterClock](const Store::TableRow &row) { return isAfterClock(row.committedAfter); });
    if (!isAfterClock(page.verifiedAt) && !isAnyRowAfterClock) {
        return;
    }
    page.clock.reset();
    page.verifiedAt.reset();
    for (Store::TableRow &row : page.rows) {
        row.committedAfter.reset();
    }
}

Core::Result<Store::RowPage> decode(const std::string &body, const std::string &peer, Core::BootTime requestedAt)
{
    verbena::wire::SettingsPush push;
    if (!push.ParseFromString(body)) {
        return Core::Error{Core::ErrorCode::InvalidArgument, step, peer, "The peer's answer is not a valid message."};
    }
    Store::RowPage page;
    page.revision = push.covered_revision();
    page.isFromPeer = true;
    page.verifiedAt = decodeStoreTime(push.verified_at_ms());
    if (const std::optional<Store::StoreTime> storeNow = decodeStoreTime(push.store_now_ms())) {
        page.clock = Store::StoreReading{*storeNow, requestedAt};
    }
    for (const verbena::wire::SettingsRow &entry : push.rows()) {
        page.rows.push_back({entry.path(), entry.content(), entry.revision(), entry.deleted(), decodeStoreTime(entry.committed_after_ms())});
    }
    removeContradictoryTimes(page);
    return page;
}

} // namespace

Core::Result<std::unique_ptr<PeerRowSource>> PeerRowSource::create(
    EventLoop::Loop &loop, const std::string &address, std::uint16_t port, Store::RowSource &store, std::uint64_t seed, const Store::FollowTimes &times)
{
    auto client = Http::HttpClient::create(loop);
    if (!client) {
        return client.error();
    }
    std::unique_ptr<PeerRowSource> rows(new PeerRowSource(loop, std::move(client.value()), address, port, store, seed, times));
    Http::HttpServerOptions options;
    options.address = address;
    options.port = port;
    options.maximumBodyBytes = 0;
    options.maximumHeaderBytes = maximumHeadBytes;
    auto server = Http::HttpServer::create(loop, options, *rows);
    if (!server) {
        return server.error();
    }
    rows->m_server = std::move(server.value());
    return rows;
}

PeerRowSource::PeerRowSource(EventLoop::Loop &loop,
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
    , m_peerTable(address, 2 * times.digestPeriod)
    , m_pendingTimer(loop, [this] { answerPending(); })
{
}

PeerTable &PeerRowSource::peerTable()
{
    return m_peerTable;
}

Store::RowMirror &PeerRowSource::mirror()
{
    return m_mirror;
}

void PeerRowSource::handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    const std::string table = exchange->queryArgument("table").value_or("");
    const std::uint64_t after = std::strtoull(exchange->queryArgument("after").value_or("0").c_str(), nullptr, 10);
    const std::optional<std::string> wait = exchange->queryArgument("wait");
    if (!wait.has_value()) {
        const Store::RowPage page = m_mirror.changesSince(table, after);
        exchange->respond(page.isHistoryLost ? statusGone : statusOk, {{"Content-Type", "application/x-protobuf"}}, encode(page, after, {}, storeNow()));
        return;
    }
    const auto duration = std::min<std::chrono::milliseconds>(maximumWait, std::chrono::milliseconds(std::strtoul(wait->c_str(), nullptr, 10)));
    const PendingRequest pending{exchange, table, after, m_loop.now() + duration};
    if (!tryAnswer(pending) && m_pending.size() < maximumPendingRequests) {
        m_pending.push_back(pending);
        m_pendingTimer.startAt(m_loop.now() + pendingCheckInterval);
    } else if (m_pending.size() >= maximumPendingRequests) {
        exchange->respond(statusBusy, {}, "");
    }
}

std::optional<Store::StoreTime> PeerRowSource::storeNow() const
{
    return m_storeClock.latest(Core::BootClock::now());
}

// Returns the maximum age of a change that the store acknowledged but that is missing here.
std::optional<std::chrono::milliseconds> PeerRowSource::age(const std::string &table) const
{
    const std::optional<Store::StoreTime> verifiedAt = m_mirror.verifiedAt(table);
    return verifiedAt.has_value() ? m_storeClock.age(*verifiedAt, Core::BootClock::now()) : std::nullopt;
}

// Returns false while the request has to wait for a change.
bool PeerRowSource::tryAnswer(const PendingRequest &pending)
{
    const Core::TimePoint now = m_loop.now();
    const std::optional<std::chrono::milliseconds> knownAge = age(pending.table);
    if (!knownAge.has_value() || *knownAge > m_times.sharedMaximumAge) {
        pending.exchange->respond(statusBusy, {}, "");
        return true;
    }
    const Store::RowPage page = m_mirror.changesSince(pending.table, pending.after);
    if (page.isHistoryLost) {
        pending.exchange->respond(statusGone, {}, "");
        return true;
    }
    if (page.rows.empty() && now < pending.deadline) {
        return false;
    }
    pending.exchange->respond(statusOk, {{"Content-Type", "application/x-protobuf"}}, encode(page, pending.after, *knownAge, storeNow()));
    return true;
}

void PeerRowSource::answerPending()
{
    std::erase_if(m_pending, [this](const PendingRequest &pending) { return tryAnswer(pending); });
    if (!m_pending.empty()) {
        m_pendingTimer.startAt(m_loop.now() + pendingCheckInterval);
    }
}

// Wraps \a done to update the clock estimate from the store's own answers.
Store::RowSource::PageCallback PeerRowSource::recordingClock(PageCallback done)
{
    return [this, requestedAt = Core::BootClock::now(), done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page && page.value().answeredAt.has_value()) {
            page.value().clock = Store::StoreReading{*page.value().answeredAt, requestedAt};
            m_storeClock.addReading(*page.value().clock);
        }
        done(std::move(page));
    };
}

void PeerRowSource::sendRequest(const std::string &peer, const std::string &query, std::uint64_t revision, Core::TimePoint deadline, PageCallback done)
{
    Http::HttpCall call;
    call.url = "http://" + peer + ':' + std::to_string(m_port) + path + query;
    call.deadline = deadline;
    const auto handle = [this, revision, peer, requestedAt = Core::BootClock::now(), done = std::move(done)](const Core::Result<Http::HttpReply> &reply) {
        const Core::Error outdated{Core::ErrorCode::Unavailable, step, peer, "The peer's copy of the table is not current."};
        if (reply && reply.value().status == statusGone) {
            done(Store::RowPage{{}, 0, true});
            return;
        }
        // A message that was cut between two of its fields can still be parsed.
        if (!reply || reply.value().status != statusOk || reply.value().isUnframed) {
            done(reply ? outdated : reply.error());
            return;
        }
        auto page = decode(reply.value().body, peer, requestedAt);
        if (page && page.value().clock.has_value()) {
            m_storeClock.addReading(*page.value().clock);
        }
        if (page && page.value().revision < revision) {
            done(outdated);
        } else {
            done(std::move(page));
        }
    };
    m_client->start(call, std::make_shared<Http::BodyCollector>(handle));
}

void PeerRowSource::awaitFresh(const std::string &peer, const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, PageCallback done)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(waitEnd - m_loop.now());
    const std::string query = "?table=" + table + "&after=" + std::to_string(revision) + "&wait=" + std::to_string(std::max<std::int64_t>(0, wait.count()));
    const auto handle = [peer, done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page && page.value().isHistoryLost) {
            done(Core::Error{Core::ErrorCode::Unavailable, step, peer, "The peer no longer has the history of the table's changes."});
            return;
        }
        if (page) {
            page.value().isFromPeer = false;
        }
        done(std::move(page));
    };
    sendRequest(peer, query, revision, waitEnd + m_times.peerAnswerTimeout, handle);
}

void PeerRowSource::fetch(const std::string &peer, const std::string &table, std::uint64_t revision, PageCallback done)
{
    const std::string query = "?table=" + table + "&after=" + std::to_string(revision);
    const auto handle = [table, peer, revision, done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page && !page.value().rows.empty()) {
            Observe::log(
                peerAsked, {{"table", table}, {"peer", peer}, {"revision", std::to_string(page.value().revision)}, {"after", std::to_string(revision)}});
        }
        done(std::move(page));
    };
    sendRequest(peer, query, revision, m_loop.now() + m_times.peerAnswerTimeout, handle);
}

void PeerRowSource::readTable(const std::string &table, Core::TimePoint deadline, PageCallback done)
{
    m_store.readTable(table, deadline, [this, table, done = recordingClock(std::move(done))](Core::Result<Store::RowPage> page) {
        if (page) {
            done(std::move(page));
        } else {
            requestFromPeer(table, 0, page.error(), done);
        }
    });
}

void PeerRowSource::awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done)
{
    m_store.awaitChanges(
        table, revision, waitEnd, deadline, [this, table, revision, done = recordingClock(std::move(done))](Core::Result<Store::RowPage> page) {
            if (page) {
                done(std::move(page));
            } else {
                requestFromPeer(table, revision, page.error(), done);
            }
        });
}

// Only a peer with a later revision was served by the store since; after any other answer the store's failure is reported.
void PeerRowSource::requestFromPeer(const std::string &table, std::uint64_t revision, const Core::Error &failure, PageCallback done)
{
    const std::optional<std::string> peer = m_peerTable.mostCurrent(m_random, m_loop.now());
    if (!peer.has_value()) {
        done(failure);
        return;
    }
    const auto handle = [revision, failure, done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page && !page.value().isHistoryLost && page.value().revision > revision) {
            done(std::move(page));
        } else {
            done(failure);
        }
    };
    fetch(*peer, table, revision, handle);
}

} // namespace Verbena::Relay
