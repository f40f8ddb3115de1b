#include "peerbook.h"

#include <algorithm>
#include <utility>

namespace Verbena::Relay {

namespace {

// As long as agents take several times to name all routers.
constexpr std::chrono::seconds memory{20};

// A bound on what is remembered of news from anywhere; enough to draw from at random.
constexpr std::size_t mostPeers = 256;

} // namespace

PeerBook::PeerBook(std::string self, std::chrono::milliseconds heardTime)
    : m_self(std::move(self))
    , m_heardTime(heardTime)
{
}

void PeerBook::note(const std::string &address, Core::TimePoint now)
{
    find(address, now);
}

void PeerBook::noteSaid(const std::string &address, const std::optional<Store::StoreTime> &verifiedAt, Core::TimePoint now)
{
    if (Peer *peer = find(address, now)) {
        peer->heardDeadline = now + m_heardTime;
        peer->verifiedAt = verifiedAt;
    }
}

bool PeerBook::isHeard(const std::string &address, Core::TimePoint now) const
{
    const auto peer = m_peers.find(address);
    return peer != m_peers.end() && now < peer->second.heardDeadline;
}

std::vector<std::string> PeerBook::draw(std::size_t count, Decisions::RandomSource &random, Core::TimePoint now)
{
    forget(now);
    std::vector<std::string> all;
    all.reserve(m_peers.size());
    for (const auto &[address, peer] : m_peers) {
        all.push_back(address);
    }
    return random.sample(all, count);
}

std::optional<std::string> PeerBook::best(Decisions::RandomSource &random, Core::TimePoint now)
{
    std::optional<std::string> best;
    std::optional<Store::StoreTime> latest;
    for (const auto &[address, peer] : m_peers) {
        if (now < peer.heardDeadline && peer.verifiedAt > latest) {
            latest = peer.verifiedAt;
            best = address;
        }
    }
    if (best.has_value()) {
        return best;
    }
    const std::vector<std::string> any = draw(1, random, now);
    return any.empty() ? std::nullopt : std::optional(any.front());
}

// The entry of a peer that is heard of now; nothing if there is no room for it.
PeerBook::Peer *PeerBook::find(const std::string &address, Core::TimePoint now)
{
    if (address == m_self) {
        return nullptr;
    }
    if (!m_peers.contains(address) && m_peers.size() >= mostPeers) {
        forget(now);
        if (m_peers.size() >= mostPeers) {
            return nullptr;
        }
    }
    Peer &peer = m_peers[address];
    peer.forgetTime = now + memory;
    return &peer;
}

void PeerBook::forget(Core::TimePoint now)
{
    std::erase_if(m_peers, [now](const auto &entry) { return now >= entry.second.forgetTime; });
}

} // namespace Verbena::Relay
