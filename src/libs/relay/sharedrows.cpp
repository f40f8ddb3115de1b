#include "sharedrows.h"

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// Of a question to or by an elected router: what the others hear is never much older, and one that is lost holds nobody up for longer.
constexpr milliseconds sharedWait{1000};

} // namespace

SharedRows::SharedRows(EventLoop::Loop &loop, PeerRows &peers, RelayTask &relay, std::uint64_t seed)
    : m_loop(loop)
    , m_peers(peers)
    , m_relay(relay)
    , m_random(seed)
{
}

void SharedRows::readTable(const std::string &table, Core::TimePoint deadline, PageCallback done)
{
    m_peers.readTable(table, deadline, std::move(done));
}

void SharedRows::awaitChanges(const std::string &table, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint deadline, PageCallback done)
{
    const Core::TimePoint now = m_loop.now();
    const std::vector<std::string> elected = waitEnd > now ? m_relay.electedRouters() : std::vector<std::string>();
    if (elected.empty()) {
        m_peers.awaitChanges(table, revision, waitEnd, deadline, std::move(done));
        return;
    }
    const Core::TimePoint sharedEnd = std::min(waitEnd, now + sharedWait);
    const Core::TimePoint sharedDeadline = std::min(deadline, sharedEnd + (deadline - waitEnd));
    if (m_relay.isElected()) {
        m_peers.awaitChanges(table, revision, sharedEnd, sharedDeadline, std::move(done));
        return;
    }
    const std::string &peer = elected[m_random.next() % elected.size()];
    const auto take = [this, table, revision, sharedEnd, sharedDeadline, done = std::move(done)](Core::Result<Store::RowPage> page) {
        if (page) {
            done(std::move(page));
        } else {
            const Core::TimePoint nextEnd = std::max(sharedEnd, m_loop.now());
            m_peers.awaitChanges(table, revision, nextEnd, nextEnd + (sharedDeadline - sharedEnd), done);
        }
    };
    m_peers.awaitFresh(peer, table, revision, sharedEnd, take);
}

} // namespace Verbena::Relay
