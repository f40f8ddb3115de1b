#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Settings {

/// \brief Settings of a team of an organisation, which has one subtree of the settings tree.
struct TeamSettings
{
    std::string organisation;
    std::string name;
    double share = 1.0; ///< Weight relative to the other teams of the organisation.
    std::uint32_t maximumConcurrent = 0; ///< Maximum number of concurrent requests per router; 0 means no limit.
    std::vector<std::string> keySha256; ///< SHA-256 hashes of the callers' keys in lower-case hexadecimal.
    std::vector<std::string> models; ///< Models that the team may call: "model" or "model:adapter".
    std::vector<std::string> services; ///< Plain services that the team may call.
    std::map<std::string, std::uint32_t> classMarks; ///< Marks by request class; requests with a higher mark are refused earlier.
};

/// \brief Settings of an organisation and its share of the pool.
struct OrganisationSettings
{
    std::string name;
    double share = 1.0; ///< Weight relative to the other organisations.
    std::map<std::string, TeamSettings> teams;
};

/// \brief Settings of a model of the deployment.
struct ModelSettings
{
    std::string name;
    std::string weightsVersion; ///< Version that engines should serve.
    std::vector<std::string> adapters;
    std::uint32_t replicas = 0; ///< Number of engines that should load the model; 0 means all.
};

/// \brief Settings of a plain service.
struct ServiceSettings
{
    std::string name;
    std::vector<std::string> nonIdempotentCalls; ///< Calls that are not idempotent, so may run at most once.
};

/// \brief Settings of a backend server.
struct BackendServerSettings
{
    std::string name;
    std::string endpoint; ///< Endpoint of its agent.
    std::string agentPublicKey; ///< CURVE key of its agent; empty without encryption.
    std::string failureDomain;
    std::vector<std::string> models; ///< Models that it serves: "model" or "model:adapter".
    std::string service; ///< Name of the plain service; empty for a model engine.
    bool isCheckingFencing = false;
    bool isDrained = false; ///< Whether an operator has ordered that it gets no new requests.
};

/// \brief The effective settings at one revision of the settings tree.
struct InForceSettings
{
    std::uint64_t revision = 0;
    std::map<std::string, std::shared_ptr<const OrganisationSettings>> organisations; ///< Never null; shared with other revisions.
    std::map<std::string, ModelSettings> models;
    std::map<std::string, ServiceSettings> services;
    std::map<std::string, BackendServerSettings> backendServers;

    /// \brief Returns the team \a name of \a organisation, or null if there is none.
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

/// \brief Interface through which a process reads the effective settings.
class SettingsView
{
public:
    virtual ~SettingsView() = default;

    /// \brief Returns the effective settings; never null, and their revision never decreases.
    virtual std::shared_ptr<const InForceSettings> current() const = 0;

    /// \brief Sets the function that is called on the event loop whenever current() has changed.
    virtual void setChangedCallback(std::function<void()> callback) = 0;
};

} // namespace Verbena::Settings
