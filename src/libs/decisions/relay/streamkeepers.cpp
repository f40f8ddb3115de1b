#include "streamkeepers.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace Verbena::Decisions {

namespace {

// Number of routers, and of agents, that are told of a stream.
constexpr std::size_t toldOfEachKind = 2;

// Number of routers, and of agents, that are asked.
constexpr std::size_t askedOfEachKind = 4;

std::uint64_t seedOf(const StreamKey &key)
{
    const std::uint64_t organisation = XXH3_64bits(key.organisation.data(), key.organisation.size());
    return XXH3_64bits_withSeed(key.attemptId.data(), key.attemptId.size(), organisation);
}

std::uint64_t rank(const std::string &address, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(address.data(), address.size(), seed);
}

// Returns the addresses of the \a count first of \a agents, which are sorted by rank. While there are any in other failure domains, one in the domain of an
// earlier one is passed over.
std::vector<std::string> spread(const std::vector<KeeperAgent> &agents, std::size_t count)
{
    std::vector<std::string> chosen;
    std::vector<std::string> others;
    std::set<std::string> domains;
    for (const KeeperAgent &agent : agents) {
        (domains.insert(agent.failureDomain).second ? chosen : others).push_back(agent.address);
    }
    chosen.insert(chosen.end(), others.begin(), others.end());
    chosen.resize(std::min(count, chosen.size()));
    return chosen;
}

} // namespace

void StreamKeepers::setRouters(std::vector<std::string> routers)
{
    m_routers = std::move(routers);
}

void StreamKeepers::setAgents(std::vector<KeeperAgent> agents)
{
    m_agents = std::move(agents);
}

std::vector<std::string> StreamKeepers::keepers(const StreamKey &key) const
{
    return ranked(key, toldOfEachKind);
}

std::vector<std::string> StreamKeepers::askedKeepers(const StreamKey &key) const
{
    return ranked(key, askedOfEachKind);
}

std::vector<std::string> StreamKeepers::ranked(const StreamKey &key, std::size_t countOfEachKind) const
{
    const std::uint64_t seed = seedOf(key);
    std::vector<std::string> keepers(std::min(countOfEachKind, m_routers.size()));
    std::partial_sort_copy(m_routers.begin(), m_routers.end(), keepers.begin(), keepers.end(), [seed](const std::string &one, const std::string &other) {
        return rank(one, seed) > rank(other, seed);
    });
    std::vector<KeeperAgent> agents = m_agents;
    std::sort(
        agents.begin(), agents.end(), [seed](const KeeperAgent &one, const KeeperAgent &other) { return rank(one.address, seed) > rank(other.address, seed); });
    const std::vector<std::string> chosen = spread(agents, countOfEachKind);
    keepers.insert(keepers.end(), chosen.begin(), chosen.end());
    return keepers;
}

} // namespace Verbena::Decisions
