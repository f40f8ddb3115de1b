#include "routechooser.h"

#include "placement.h"

#include <algorithm>

namespace Verbena::Decisions {

void RouteChooser::setFleet(std::vector<BackendServer> servers)
{
    m_servers.clear();
    for (BackendServer &server : servers) {
        m_servers.emplace(server.id, std::move(server));
    }
}

void RouteChooser::noteLoad(BackendServerId id, const LoadReport &report, Core::TimePoint)
{
    m_loads[id] = report;
}

std::optional<BackendServerId> RouteChooser::choose(const RouteQuery &query, Core::TimePoint) const
{
    const PrefixKey key = query.keys.empty() ? query.root : query.keys.back();
    const std::vector<BackendServerId> ranks = rendezvousRanks(key, poolFor(query), 1);
    return ranks.empty() ? std::nullopt : std::optional(ranks.front());
}

const BackendServer *RouteChooser::server(BackendServerId id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

std::vector<BackendServerId> RouteChooser::poolFor(const RouteQuery &query) const
{
    std::vector<BackendServerId> pool;
    for (const auto &[id, server] : m_servers) {
        const bool isServing = query.service.empty() ? std::find(server.served.begin(), server.served.end(), query.version) != server.served.end()
                                                     : server.service == query.service;
        const bool isExcluded = std::find(query.excluded.begin(), query.excluded.end(), id) != query.excluded.end();
        if (isServing && !isExcluded && server.state == BackendServerState::Live) {
            pool.push_back(id);
        }
    }
    return pool;
}

} // namespace Verbena::Decisions
