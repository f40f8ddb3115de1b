#pragma once

#include <core/time.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief The process that owns an organisation's usage counter, as assumed by one router.
struct UsageOwnerChoice
{
    std::string address; ///< Address of the engine beside the process.
    std::chrono::microseconds ownedFor{0}; ///< Time for which this router has assumed this owner.
};

/// \brief Assigns the usage counter of each organisation to an agent.
///
/// All routers with the same agents compute the same owners, so they need no agreement.
class UsageOwners
{
public:
    /// \brief Starts with no agents; an organisation's first owner counts as its owner since \a start.
    explicit UsageOwners(Core::TimePoint start);

    /// \brief Sets the addresses of the engines whose agents may be owners.
    void setAgents(std::vector<std::string> agents);

    /// \brief Returns the owner of \a organisation's usage counter, or nothing if there is no agent.
    std::optional<UsageOwnerChoice> owner(const std::string &organisation, Core::TimePoint now);

private:
    struct OwnerEntry
    {
        std::string address;
        Core::TimePoint since; ///< Time since which this owner has been assumed.
        std::uint64_t revision = 0; ///< Revision of the agents from which the owner was computed.
    };

    std::string computeOwner(const std::string &organisation) const;

    Core::TimePoint m_start;
    std::vector<std::string> m_agents;
    std::uint64_t m_revision = 0;
    std::map<std::string, OwnerEntry> m_owners; ///< Owners by organisation.
};

} // namespace Verbena::Decisions
