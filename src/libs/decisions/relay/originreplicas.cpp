#include "originreplicas.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace Verbena::Decisions {

namespace {

// Number of routers, and of agents, that are told of a stream.
constexpr std::size_t toldOfEachKind = 2;

// Number of routers, and of agents, that are asked.
constexpr std::size_t askedOfEachKind = 4;

// Number of agents with the highest ranks among which failure domains are spread; far more than those that are asked.
constexpr std::size_t consideredAgents = 64;

std::uint64_t seedOf(const StreamKey &key)
{
    const std::uint64_t organisation = XXH3_64bits(key.organisation.data(), key.organisation.size());
    return XXH3_64bits_withSeed(key.attemptId.data(), key.attemptId.size(), organisation);
}

// Returns the indexes of the \a count members of \a all with the highest ranks for \a seed, the highest first.
template<typename Member, typename Address>
std::vector<std::size_t> highest(const std::vector<Member> &all, std::size_t count, std::uint64_t seed, const Address &addressOf)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
    ranks.reserve(all.size());
    for (std::size_t index = 0; index < all.size(); ++index) {
        const std::string &address = addressOf(all[index]);
        ranks.emplace_back(XXH3_64bits_withSeed(address.data(), address.size(), seed), index);
    }
    const std::size_t found = std::min(count, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(found), ranks.end(), std::greater<>());
    std::vector<std::size_t> indexes;
    for (std::size_t place = 0; place < found; ++place) {
        indexes.push_back(ranks[place].second);
    }
    return indexes;
}

} // namespace

void OriginReplicas::setRouters(std::vector<std::string> routers)
{
    m_routers = std::move(routers);
}

void OriginReplicas::setAgents(std::vector<ReplicaAgent> agents)
{
    m_agents = std::move(agents);
}

std::vector<std::string> OriginReplicas::replicas(const StreamKey &key) const
{
    return ranked(key, toldOfEachKind);
}

std::vector<std::string> OriginReplicas::queriedReplicas(const StreamKey &key) const
{
    return ranked(key, askedOfEachKind);
}

std::vector<std::string> OriginReplicas::ranked(const StreamKey &key, std::size_t countOfEachKind) const
{
    const std::uint64_t seed = seedOf(key);
    std::vector<std::string> replicas;
    for (const std::size_t index : highest(m_routers, countOfEachKind, seed, [](const std::string &router) -> const std::string & { return router; })) {
        replicas.push_back(m_routers[index]);
    }
    std::vector<std::string> others;
    std::set<std::string> domains;
    for (const std::size_t index : highest(m_agents, consideredAgents, seed, [](const ReplicaAgent &agent) -> const std::string & { return agent.address; })) {
        const ReplicaAgent &agent = m_agents[index];
        const bool isOfNewDomain = domains.insert(agent.failureDomain).second;
        (isOfNewDomain && domains.size() <= countOfEachKind ? replicas : others).push_back(agent.address);
    }
    const std::size_t missing = countOfEachKind - std::min(countOfEachKind, domains.size());
    others.resize(std::min(missing, others.size()));
    replicas.insert(replicas.end(), others.begin(), others.end());
    return replicas;
}

} // namespace Verbena::Decisions
