#include "tablegossip.h"

#include "storetimecodec.h"

#include <eventloop/loop.h>

#include <algorithm>

#include <arpa/inet.h>

namespace Verbena::Relay {

namespace {

// Told in each period: so each router is told by as many others on average, and hears within two periods with hardly an exception.
constexpr std::size_t toldAtOnce = 3;

// Asked, in that way, by a router that hears too little, so that some of them hear the store although most others do not either.
constexpr std::size_t toldWhenAged = 8;

// Told of a change, by each router that learns of it.
constexpr std::size_t toldOfChange = 4;

// A change is told so late after it was learned, of a period: whoever hears it from the store or an elected router need not fetch it too.
constexpr int changeDelayDivisor = 4;

// Calls to different routers for the same table, as one of them may be gone, and the part of the time for an answer that passes between two.
constexpr std::size_t mostFetches = 3;
constexpr int fetchDelayDivisor = 3;

std::string textOf(const sockaddr_in &address)
{
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    return text;
}

Store::TableDigest decode(const verbena::wire::TableDigest &entry)
{
    return {entry.table(), entry.changed_revision(), entry.covered_revision(), decodeStoreTime(entry.verified_at_ms())};
}

} // namespace

Core::Result<std::unique_ptr<TableGossip>> TableGossip::create(
    EventLoop::Loop &loop, const Http::Endpoint &address, PeerRows &peers, const Store::FollowTimes &times, std::uint64_t seed)
{
    std::unique_ptr<TableGossip> gossip(new TableGossip(loop, address, peers, times, seed));
    const auto take = [raw = gossip.get()](const sockaddr_in &from, const verbena::wire::Envelope &message) {
        if (message.has_table_digests()) {
            raw->receive(from, message.table_digests());
        }
    };
    auto socket = Wire::DatagramSocket::bind(loop, address.address, take);
    if (!socket) {
        return socket.error();
    }
    gossip->m_socket = std::move(socket.value());
    gossip->tellSome();
    return gossip;
}

TableGossip::TableGossip(EventLoop::Loop &loop, const Http::Endpoint &address, PeerRows &peers, const Store::FollowTimes &times, std::uint64_t seed)
    : m_loop(loop)
    , m_address(address)
    , m_peers(peers)
    , m_times(times)
    , m_random(seed)
    , m_timer(loop, [this] { tellSome(); })
    , m_changeTimer(loop, [this] { tell(toldOfChange); })
{
}

void TableGossip::follow(Store::TableFollower &follower, Urgency urgency)
{
    m_followed.push_back(std::make_unique<Followed>(Followed{&follower, urgency}));
}

void TableGossip::tellChange()
{
    if (!m_changeTimer.isActive()) {
        m_changeTimer.startAt(m_loop.now() + m_times.digestPeriod / changeDelayDivisor);
    }
}

void TableGossip::tellSome()
{
    tell(isAged() ? toldWhenAged : toldAtOnce);
    m_timer.startAt(m_loop.now() + m_times.digestPeriod);
}

void TableGossip::tell(std::size_t count)
{
    const verbena::wire::Envelope message = digests(false);
    for (const std::string &peer : m_peers.book().draw(count, m_random, m_loop.now())) {
        Http::Endpoint endpoint = m_address;
        if (inet_pton(AF_INET, peer.c_str(), &endpoint.address.sin_addr) == 1) {
            m_socket->send(endpoint.address, message);
        }
    }
}

bool TableGossip::isOlderThan(const Store::TableFollower &follower, std::chrono::milliseconds age) const
{
    const std::optional<std::chrono::milliseconds> known = follower.age();
    return !known.has_value() || *known > age;
}

bool TableGossip::isAged() const
{
    return std::any_of(
        m_followed.begin(), m_followed.end(), [this](const auto &followed) { return isOlderThan(*followed->follower, m_times.sharedMaximumAge); });
}

verbena::wire::Envelope TableGossip::digests(bool isReply) const
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
    }
    return message;
}

// A router that says too little of itself is told what helps it, but a reply is never replied to.
void TableGossip::receive(const sockaddr_in &from, const verbena::wire::TableDigests &digests)
{
    const std::string peer = textOf(from);
    std::optional<Store::StoreTime> least;
    bool isHelped = false;
    for (const verbena::wire::TableDigest &entry : digests.tables()) {
        const Store::TableDigest theirs = decode(entry);
        const bool isFirst = &entry == &digests.tables(0);
        least = isFirst ? theirs.verifiedAt : std::min(least, theirs.verifiedAt);
        for (const auto &followed : m_followed) {
            isHelped = (followed->follower->table() == theirs.table && take(*followed, peer, theirs)) || isHelped;
        }
    }
    m_peers.book().noteSaid(peer, least, m_loop.now());
    if (isHelped && !digests.is_reply()) {
        m_socket->send(from, this->digests(true));
    }
}

// Returns whether the peer is helped by what is known here.
bool TableGossip::take(Followed &followed, const std::string &peer, const Store::TableDigest &theirs)
{
    Store::TableFollower &follower = *followed.follower;
    switch (follower.compare(theirs)) {
    case Store::TableVersion::Comparison::Confirms:
        follower.confirm(theirs);
        return false;
    case Store::TableVersion::Comparison::IsNewer:
        if (followed.urgency == Urgency::AtOnce || isOlderThan(follower, m_times.sharedMaximumWait)) {
            fetch(followed, peer, follower.revision());
        }
        return false;
    case Store::TableVersion::Comparison::NotNewer:
        return isHelpful(theirs, follower.digest());
    }
    return false;
}

bool TableGossip::isHelpful(const Store::TableDigest &theirs, const Store::TableDigest &ours) const
{
    if (ours.changedRevision > theirs.coveredRevision) {
        return true;
    }
    return ours.verifiedAt.has_value() && (!theirs.verifiedAt.has_value() || *ours.verifiedAt > *theirs.verifiedAt + m_times.digestPeriod);
}

// A peer that has read the whole table since then can tell only the whole of it.
void TableGossip::fetch(Followed &followed, const std::string &peer, std::uint64_t asked)
{
    const Core::TimePoint now = m_loop.now();
    if (followed.fetches >= mostFetches || (followed.fetches > 0 && now < followed.nextFetch)) {
        return;
    }
    ++followed.fetches;
    followed.nextFetch = now + m_times.peerAnswerTimeout / fetchDelayDivisor;
    const auto take = [this, &followed, peer, asked](Core::Result<Store::RowPage> page) {
        --followed.fetches;
        if (page && page.value().isHistoryLost) {
            fetch(followed, peer, 0);
        } else if (page) {
            followed.follower->offer(std::move(page.value()), asked);
        }
    };
    m_peers.fetch(peer, followed.follower->table(), asked, m_lifetime.guard(take));
}

} // namespace Verbena::Relay
