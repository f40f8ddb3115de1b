#include "usagekeepers.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbena::Decisions {

UsageKeepers::UsageKeepers(Core::TimePoint start)
    : m_start(start)
{
}

void UsageKeepers::setAgents(std::vector<std::string> agents)
{
    m_agents = std::move(agents);
    ++m_revision;
}

// Rendezvous hashing: an agent that comes or goes changes the keeper of its own organisations only.
std::string UsageKeepers::compute(const std::string &organisation) const
{
    const auto rank = [&organisation](const std::string &agent) {
        return XXH3_64bits_withSeed(agent.data(), agent.size(), XXH3_64bits(organisation.data(), organisation.size()));
    };
    return *std::max_element(m_agents.begin(), m_agents.end(), [&](const std::string &one, const std::string &other) { return rank(one) < rank(other); });
}

std::optional<UsageKeeperChoice> UsageKeepers::keeper(const std::string &organisation, Core::TimePoint now)
{
    if (m_agents.empty()) {
        return std::nullopt;
    }
    Kept &kept = m_kept.try_emplace(organisation, Kept{"", m_start, 0}).first->second;
    if (kept.revision != m_revision) {
        const std::string address = compute(organisation);
        kept.since = kept.address.empty() || kept.address == address ? kept.since : now;
        kept.address = address;
        kept.revision = m_revision;
    }
    return UsageKeeperChoice{kept.address, std::chrono::duration_cast<std::chrono::microseconds>(now - kept.since)};
}

} // namespace Verbena::Decisions
