#pragma once

#include "streamorigins.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Verbena::Decisions {

/// \brief An agent that may hold replicas.
struct ReplicaAgent
{
    std::string address; ///< IP address of its host.
    std::string failureDomain;

    bool operator==(const ReplicaAgent &) const = default;

    bool operator<(const ReplicaAgent &other) const
    {
        return std::tie(address, failureDomain) < std::tie(other.address, other.failureDomain);
    }
};

/// \brief Chooses the few processes that hold replicas of the origin of a stream.
///
/// Routers and agents are ranked by rendezvous hashing, so routers that know nearly the same processes choose nearly the same ones. Both kinds keep each
/// origin, since they are stopped and replaced at different times.
class OriginReplicas
{
public:
    /// \brief Sets the IP addresses of the routers.
    void setRouters(std::vector<std::string> routers);

    /// \brief Sets the agents.
    void setAgents(std::vector<ReplicaAgent> agents);

    /// \brief Returns the IP addresses of the replicas that are told of the stream \a key: routers, and agents in different failure domains.
    std::vector<std::string> replicas(const StreamKey &key) const;

    /// \brief Returns the IP addresses of the replicas that are queried for the stream \a key: more than are told, as routers may know other processes.
    std::vector<std::string> queriedReplicas(const StreamKey &key) const;

private:
    std::vector<std::string> ranked(const StreamKey &key, std::size_t countOfEachKind) const;

    std::vector<std::string> m_routers;
    std::vector<ReplicaAgent> m_agents;
};

} // namespace Verbena::Decisions
