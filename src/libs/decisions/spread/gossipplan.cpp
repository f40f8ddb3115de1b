#include "gossipplan.h"

#include <algorithm>
#include <utility>

namespace Verbena::Decisions {

GossipPlan::GossipPlan(const GossipPlanOptions &options, std::uint64_t seed, Core::TimePoint now)
    : m_options(options)
    , m_random(seed)
    , m_nextExchange(now)
{
}

std::vector<std::string> GossipPlan::sampleAnnouncementPeers(std::span<const std::string> peers)
{
    return m_random.sample(peers, m_options.fanout);
}

std::vector<std::string> GossipPlan::sampleExchangePeers(std::span<const std::string> peers, bool isStarting, Core::TimePoint now)
{
    if (now < m_nextExchange) {
        return {};
    }
    // Between 0.5 and 1.5 intervals, so that processes that started at the same time do not stay synchronised.
    const double factor = 0.5 + m_random.uniform();
    const std::chrono::milliseconds interval = isStarting ? m_options.startInterval : m_options.exchangeInterval;
    m_nextExchange = now + std::chrono::duration_cast<Core::Clock::duration>(interval * factor);
    return m_random.sample(peers, isStarting ? m_options.fanout : 1);
}

bool GossipPlan::beginPull(const std::string &peer, Core::TimePoint now)
{
    if (m_pull.has_value()) {
        return false;
    }
    m_pull = Pull{peer, now + m_options.pullTimeout};
    return true;
}

void GossipPlan::recordNewerPeer(const std::string &peer, std::uint64_t revision)
{
    if (revision > m_newerRevision) {
        m_newerPeer = peer;
        m_newerRevision = revision;
    }
}

std::optional<std::string> GossipPlan::takeNewerPeer(std::uint64_t revision)
{
    if (std::exchange(m_newerRevision, 0) <= revision) {
        return std::nullopt;
    }
    return std::move(m_newerPeer);
}

bool GossipPlan::continuePull(const std::string &peer, Core::TimePoint now)
{
    if (!m_pull.has_value() || m_pull->peer != peer) {
        return false;
    }
    m_pull->deadline = now + m_options.pullTimeout;
    return true;
}

void GossipPlan::endPull(const std::string &peer)
{
    if (m_pull.has_value() && m_pull->peer == peer) {
        m_pull.reset();
    }
}

void GossipPlan::expirePull(Core::TimePoint now)
{
    if (m_pull.has_value() && m_pull->deadline <= now) {
        m_pull.reset();
        m_nextExchange = now;
    }
}

Core::TimePoint GossipPlan::nextDeadline() const
{
    return m_pull.has_value() ? std::min(m_nextExchange, m_pull->deadline) : m_nextExchange;
}

} // namespace Verbena::Decisions
