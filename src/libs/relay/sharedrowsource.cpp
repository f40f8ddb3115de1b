#include "sharedrowsource.h"

#include <algorithm>

namespace Verbena::Relay {

SharedRowSource::SharedRowSource(EventLoop::Loop &loop, PeerRowSource &peers, RelayTask &relay, std::uint64_t seed, const Store::FollowTimes &times)
    : m_loop(loop)
    , m_peers(peers)
    , m_relay(relay)
    , m_random(seed)
    , m_times(times)
{
}

void SharedRowSource::readTable(const std::string &table, Core::TimePoint deadline, PageCallback done)
{
    m_peers.readTable(table, deadline, std::move(done));
}

// Prefers an elected router that recently sent a digest. Others may be gone, which shows only when they do not answer.
const std::string &SharedRowSource::chooseElected(const std::vector<std::string> &elected)
{
    const std::size_t first = m_random.next() % elected.size();
    for (std::size_t offset = 0; offset < elected.size(); ++offset) {
        const std::string &candidate = elected[(first + offset) % elected.size()];
        if (m_peers.peerTable().hasRecentDigest(candidate, m_loop.now())) {
            return candidate;
        }
    }
    return elected[first];
}

void SharedRowSource::awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done)
{
    const Core::TimePoint now = m_loop.now();
    const std::vector<std::string> elected = waitEnd > now ? m_relay.electedRouters() : std::vector<std::string>();
    if (elected.empty()) {
        m_peers.awaitChanges(table, revision, waitEnd, deadline, std::move(done));
        return;
    }
    const Core::TimePoint sharedEnd = std::min(waitEnd, now + m_times.sharedMaximumWait);
    const Core::TimePoint sharedDeadline = std::min(deadline, sharedEnd + (deadline - waitEnd));
    if (m_relay.isElected()) {
        m_peers.awaitChanges(table, revision, sharedEnd, sharedDeadline, std::move(done));
        return;
    }
    const std::string &peer = chooseElected(elected);
    const auto handle = [this, table, revision, sharedEnd, sharedDeadline, done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page) {
            done(std::move(page));
        } else {
            const Core::TimePoint nextEnd = std::max(sharedEnd, m_loop.now());
            m_peers.awaitChanges(table, revision, nextEnd, nextEnd + (sharedDeadline - sharedEnd), done);
        }
    };
    m_peers.awaitFresh(peer, table, revision, sharedEnd, handle);
}

} // namespace Verbena::Relay
