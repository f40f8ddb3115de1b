#include "tablegossip.h"

#include "relayevents.h"
#include "storetimecodec.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace Verbena::Relay {

namespace {

// Number of peers to which digests are sent per period. Each router receives as many on average, and almost always at least one within two periods.
constexpr std::size_t digestPeers = 3;

// Number of peers for a router with an outdated copy, so that some of them are served by the store even if most routers are not. Its digest makes them reply.
constexpr std::size_t digestPeersWhenOutdated = 8;

// Number of peers to which each router that receives a change sends digests.
constexpr std::size_t changePeers = 4;

// Part of a period by which digests are delayed after a change, so that routers that receive it from the store or an elected router need not fetch it too.
constexpr int changeDelayDivisor = 4;

// Maximum number of concurrent fetches of a table from different routers, since one of them may be gone, and the part of the answer timeout between two.
constexpr std::size_t maximumFetches = 3;
constexpr int fetchDelayDivisor = 3;

Store::TableDigest decode(const verbena::wire::TableDigest &entry)
{
    return {entry.table(), entry.changed_revision(), entry.covered_revision(), decodeStoreTime(entry.verified_at_ms()), entry.content_hash()};
}

std::string hashText(std::uint64_t hash)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, hash);
    return text.data();
}

} // namespace

Core::Result<std::unique_ptr<TableGossip>> TableGossip::create(
    EventLoop::Loop &loop, const Http::Endpoint &address, PeerRowSource &peers, const Store::FollowTimes &times, std::uint64_t seed)
{
    std::unique_ptr<TableGossip> gossip(new TableGossip(loop, address, peers, times, seed));
    const auto handle = [raw = gossip.get()](const sockaddr_in &from, const verbena::wire::Envelope &message) {
        if (message.has_table_digests()) {
            raw->handleDigests(from, message.table_digests());
        }
    };
    auto socket = Wire::DatagramSocket::bind(loop, address.address, handle);
    if (!socket) {
        return socket.error();
    }
    gossip->m_socket = std::move(socket.value());
    gossip->sendPeriodically();
    return gossip;
}

TableGossip::TableGossip(EventLoop::Loop &loop, const Http::Endpoint &address, PeerRowSource &peers, const Store::FollowTimes &times, std::uint64_t seed)
    : m_loop(loop)
    , m_address(address)
    , m_peers(peers)
    , m_times(times)
    , m_random(seed)
    , m_timer(loop, [this] { sendPeriodically(); })
    , m_changeTimer(loop, [this] { sendDigests(changePeers); })
{
}

void TableGossip::follow(Store::TableFollower &follower, Urgency urgency)
{
    m_followed.push_back(std::make_unique<Followed>(Followed{&follower, urgency}));
}

void TableGossip::announceChange()
{
    if (!m_changeTimer.isActive()) {
        m_changeTimer.startAt(m_loop.now() + m_times.digestPeriod / changeDelayDivisor);
    }
}

void TableGossip::sendPeriodically()
{
    sendDigests(isOutdated() ? digestPeersWhenOutdated : digestPeers);
    m_timer.startAt(m_loop.now() + m_times.digestPeriod);
}

void TableGossip::sendDigests(std::size_t count)
{
    const verbena::wire::Envelope message = digestMessage(false);
    for (const std::string &peer : m_peers.peerTable().sample(count, m_random, m_loop.now())) {
        if (const auto endpoint = m_address.atPeer(peer)) {
            m_socket->send(endpoint->address, message);
        }
    }
}

bool TableGossip::isOlderThan(const Store::TableFollower &follower, std::chrono::milliseconds age) const
{
    const std::optional<std::chrono::milliseconds> knownAge = follower.age();
    return !knownAge.has_value() || *knownAge > age;
}

bool TableGossip::isOutdated() const
{
    return std::any_of(
        m_followed.begin(), m_followed.end(), [this](const auto &followed) { return isOlderThan(*followed->follower, m_times.sharedMaximumAge); });
}

verbena::wire::Envelope TableGossip::digestMessage(bool isReply) const
{
    verbena::wire::Envelope message;
    message.mutable_table_digests()->set_is_reply(isReply);
    for (const auto &followed : m_followed) {
        const Store::TableDigest digest = followed->follower->digest();
        verbena::wire::TableDigest &entry = *message.mutable_table_digests()->add_tables();
        entry.set_table(digest.table);
        entry.set_changed_revision(digest.changedRevision);
        entry.set_covered_revision(digest.coveredRevision);
        entry.set_verified_at_ms(encodeStoreTime(digest.verifiedAt));
        entry.set_content_hash(digest.contentHash);
    }
    return message;
}

// Replies with digests to a router whose copy is older, but never to a reply.
void TableGossip::handleDigests(const sockaddr_in &from, const verbena::wire::TableDigests &digests)
{
    const std::string peer = Http::Endpoint{from}.ipAddress();
    std::optional<Store::StoreTime> oldest;
    bool shouldReply = false;
    for (const verbena::wire::TableDigest &entry : digests.tables()) {
        const Store::TableDigest theirs = decode(entry);
        const bool isFirst = &entry == &digests.tables(0);
        oldest = isFirst ? theirs.verifiedAt : std::min(oldest, theirs.verifiedAt);
        for (const auto &followed : m_followed) {
            shouldReply = (followed->follower->table() == theirs.table && applyDigest(*followed, peer, theirs)) || shouldReply;
        }
    }
    m_peers.peerTable().recordDigest(peer, oldest, m_loop.now());
    if (shouldReply && !digests.is_reply()) {
        m_socket->send(from, this->digestMessage(true));
    }
}

// Returns whether the peer should receive a digest of this router, as it lacks data or its copy may be wrong.
bool TableGossip::applyDigest(Followed &followed, const std::string &peer, const Store::TableDigest &theirs)
{
    Store::TableFollower &follower = *followed.follower;
    switch (follower.compare(theirs)) {
    case Store::TableVersion::Comparison::Confirms:
        follower.confirm(theirs);
        return false;
    case Store::TableVersion::Comparison::IsNewer:
        if (followed.urgency == Urgency::Immediate || isOlderThan(follower, m_times.sharedMaximumWait)) {
            fetch(followed, peer, follower.revision());
        }
        return false;
    case Store::TableVersion::Comparison::NotNewer:
        return isHelpful(theirs, follower.digest());
    case Store::TableVersion::Comparison::Differs:
        handleDifference(follower, peer, theirs);
        return true;
    }
    return false;
}

// Neither router can tell which copy is wrong, so both read the table again.
void TableGossip::handleDifference(Store::TableFollower &follower, const std::string &peer, const Store::TableDigest &theirs)
{
    const Store::TableDigest ours = follower.digest();
    const auto handleCorrection = [&follower] {
        const Store::TableDigest digest = follower.digest();
        Observe::log(
            tableCorrected, {{"table", digest.table}, {"revision", std::to_string(digest.coveredRevision)}, {"contents", hashText(digest.contentHash)}});
    };
    if (follower.reread(handleCorrection)) {
        Observe::log(tableDiffers,
            {{"table", ours.table},
                {"peer", peer},
                {"changed", std::to_string(ours.changedRevision)},
                {"revision", std::to_string(ours.coveredRevision)},
                {"contents", hashText(ours.contentHash)},
                {"peer_changed", std::to_string(theirs.changedRevision)},
                {"peer_revision", std::to_string(theirs.coveredRevision)},
                {"peer_contents", hashText(theirs.contentHash)}});
    }
}

bool TableGossip::isHelpful(const Store::TableDigest &theirs, const Store::TableDigest &ours) const
{
    if (ours.changedRevision > theirs.coveredRevision) {
        return true;
    }
    return ours.verifiedAt.has_value() && (!theirs.verifiedAt.has_value() || *ours.verifiedAt > *theirs.verifiedAt + m_times.digestPeriod);
}

// Digests make a router fetch the same rows again and again.
void TableGossip::offer(Followed &followed, const std::string &peer, Store::RowPage page, std::uint64_t requestedRevision)
{
    const auto offered = followed.follower->offer(std::move(page), requestedRevision);
    if (!offered && !followed.isRefused) {
        Observe::log(peerRowsRefused, {offered.error().code, offered.error().step, peer, offered.error().message}, {{"table", followed.follower->table()}});
    }
    followed.isRefused = !offered;
}

// A peer that has read the whole table since then can return only the whole table.
void TableGossip::fetch(Followed &followed, const std::string &peer, std::uint64_t requestedRevision)
{
    const Core::TimePoint now = m_loop.now();
    if (followed.fetches >= maximumFetches || (followed.fetches > 0 && now < followed.nextFetch)) {
        return;
    }
    ++followed.fetches;
    followed.nextFetch = now + m_times.peerAnswerTimeout / fetchDelayDivisor;
    const auto handle = [this, &followed, peer, requestedRevision](Core::Result<Store::RowPage> page) {
        --followed.fetches;
        if (page && page.value().isHistoryLost && requestedRevision > 0) {
            fetch(followed, peer, 0);
        } else if (page && !page.value().isHistoryLost) {
            offer(followed, peer, std::move(page.value()), requestedRevision);
        }
    };
    m_peers.fetch(peer, followed.follower->table(), requestedRevision, m_lifetime.guard(handle));
}

} // namespace Verbena::Relay
