#include "usageowners.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbena::Decisions {

UsageOwners::UsageOwners(Core::TimePoint start)
    : m_start(start)
{
}

void UsageOwners::setAgents(std::vector<std::string> agents)
{
    m_agents = std::move(agents);
    ++m_revision;
}

// Rendezvous hashing: adding or removing an agent only changes the owner of the organisations that it gains or loses.
std::string UsageOwners::computeOwner(const std::string &organisation) const
{
    const auto rank = [&organisation](const std::string &agent) {
        return XXH3_64bits_withSeed(agent.data(), agent.size(), XXH3_64bits(organisation.data(), organisation.size()));
    };
    return *std::max_element(m_agents.begin(), m_agents.end(), [&](const std::string &one, const std::string &other) { return rank(one) < rank(other); });
}

std::optional<UsageOwnerChoice> UsageOwners::owner(const std::string &organisation, Core::TimePoint now)
{
    if (m_agents.empty()) {
        return std::nullopt;
    }
    OwnerEntry &entry = m_owners.try_emplace(organisation, OwnerEntry{"", m_start, 0}).first->second;
    if (entry.revision != m_revision) {
        const std::string address = computeOwner(organisation);
        entry.since = entry.address.empty() || entry.address == address ? entry.since : now;
        entry.address = address;
        entry.revision = m_revision;
    }
    return UsageOwnerChoice{entry.address, std::chrono::duration_cast<std::chrono::microseconds>(now - entry.since)};
}

} // namespace Verbena::Decisions
