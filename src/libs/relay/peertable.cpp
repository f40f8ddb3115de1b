#include "peertable.h"

#include <algorithm>
#include <utility>

namespace Verbena::Relay {

namespace {

// Several times as long as agents take to report all routers.
constexpr std::chrono::seconds peerLifetime{20};

// Bounds the memory for addresses from messages of any sender; enough for random samples.
constexpr std::size_t maximumPeers = 256;

} // namespace

PeerTable::PeerTable(std::string self, std::chrono::milliseconds digestLifetime)
    : m_self(std::move(self))
    , m_digestLifetime(digestLifetime)
{
}

void PeerTable::add(const std::string &address, Core::TimePoint now)
{
    findOrAdd(address, now);
}

void PeerTable::recordDigest(const std::string &address, const std::optional<Store::StoreTime> &verifiedAt, Core::TimePoint now)
{
    if (Peer *peer = findOrAdd(address, now)) {
        peer->digestExpiryTime = now + m_digestLifetime;
        peer->verifiedAt = verifiedAt;
    }
}

bool PeerTable::hasRecentDigest(const std::string &address, Core::TimePoint now) const
{
    const auto peer = m_peers.find(address);
    return peer != m_peers.end() && now < peer->second.digestExpiryTime;
}

std::vector<std::string> PeerTable::sample(std::size_t count, Decisions::RandomSource &random, Core::TimePoint now)
{
    evictExpired(now);
    std::vector<std::string> all;
    all.reserve(m_peers.size());
    for (const auto &[address, peer] : m_peers) {
        all.push_back(address);
    }
    return random.sample(all, count);
}

std::optional<std::string> PeerTable::mostCurrent(Decisions::RandomSource &random, Core::TimePoint now)
{
    std::optional<std::string> best;
    std::optional<Store::StoreTime> latest;
    for (const auto &[address, peer] : m_peers) {
        if (now < peer.digestExpiryTime && peer.verifiedAt > latest) {
            latest = peer.verifiedAt;
            best = address;
        }
    }
    if (best.has_value()) {
        return best;
    }
    const std::vector<std::string> sampled = sample(1, random, now);
    return sampled.empty() ? std::nullopt : std::optional(sampled.front());
}

// Returns the entry of a peer that was mentioned now; nothing if the table is full.
PeerTable::Peer *PeerTable::findOrAdd(const std::string &address, Core::TimePoint now)
{
    if (address == m_self) {
        return nullptr;
    }
    if (!m_peers.contains(address) && m_peers.size() >= maximumPeers) {
        evictExpired(now);
        if (m_peers.size() >= maximumPeers) {
            return nullptr;
        }
    }
    Peer &peer = m_peers[address];
    peer.expiryTime = now + peerLifetime;
    return &peer;
}

void PeerTable::evictExpired(Core::TimePoint now)
{
    std::erase_if(m_peers, [now](const auto &entry) { return now >= entry.second.expiryTime; });
}

} // namespace Verbena::Relay
