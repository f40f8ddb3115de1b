#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Settings {

/// \brief A team of an organisation: one subtree of the settings tree.
struct TeamSettings
{
    std::string organisation;
    std::string name;
    double share = 1.0; ///< Weight among the teams of the organisation.
    std::uint32_t maximumConcurrent = 0; ///< Requests at once per router; 0 means no limit.
    std::vector<std::string> keySha256; ///< Hashes of the callers' keys, lower-case hexadecimal.
    std::vector<std::string> models; ///< What the team may call: "model" or "model:adapter".
    std::vector<std::string> services; ///< Plain services the team may call.
    std::map<std::string, std::uint32_t> classMarks; ///< Request class to mark; a higher mark is refused earlier.
};

/// \brief An organisation and its part of the pool.
struct OrganisationSettings
{
    std::string name;
    double share = 1.0; ///< Weight among the organisations.
    std::map<std::string, TeamSettings> teams;
};

/// \brief A model that is declared for the deployment.
struct ModelSettings
{
    std::string name;
    std::string weightsVersion; ///< The version in force.
    std::vector<std::string> adapters;
    std::uint32_t replicas = 0; ///< Engines that should hold it; 0 means all.
};

/// \brief A plain service beside the engines.
struct ServiceSettings
{
    std::string name;
    std::vector<std::string> nonIdempotentCalls; ///< Calls that may run at most once.
};

/// \brief A backend server of the deployment.
struct BackendServerSettings
{
    std::string name;
    std::string endpoint; ///< Of its agent.
    std::string agentPublicKey; ///< CURVE key of its agent; empty without encryption.
    std::string failureDomain;
    std::vector<std::string> models; ///< What it serves: "model" or "model:adapter".
    std::string service; ///< Name of the plain service; empty for a model engine.
    bool isCheckingFencing = false;
    bool isDrained = false; ///< An operator's order: no new work.
};

/// \brief Everything of the settings tree that is in force at one revision.
struct InForceSettings
{
    std::uint64_t revision = 0;
    std::map<std::string, std::shared_ptr<const OrganisationSettings>> organisations; ///< Never null; shared with other revisions.
    std::map<std::string, ModelSettings> models;
    std::map<std::string, ServiceSettings> services;
    std::map<std::string, BackendServerSettings> backendServers;

    /// \brief The team \a name of \a organisation, or null if there is none in force.
    const TeamSettings *findTeam(const std::string &organisation, const std::string &name) const
    {
        const auto owner = organisations.find(organisation);
        if (owner == organisations.end()) {
            return nullptr;
        }
        const auto team = owner->second->teams.find(name);
        return team == owner->second->teams.end() ? nullptr : &team->second;
    }
};

/// \brief Where a process looks up what is in force.
class SettingsView
{
public:
    virtual ~SettingsView() = default;

    /// \brief What is in force now; never null, and its revision never goes down.
    virtual std::shared_ptr<const InForceSettings> current() const = 0;

    /// \brief Called on the loop whenever current() has changed.
    virtual void setChangedCallback(std::function<void()> callback) = 0;
};

} // namespace Verbena::Settings
