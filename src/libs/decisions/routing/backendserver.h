#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <tuple>

namespace Verbena::Decisions {

/// \brief Identifies a backend server in decisions: the hash of its name.
enum class BackendServerId : std::uint64_t {};

/// \brief A model with its adapter and the version of its weights, as a request asks for it and an engine loads it.
struct ModelVersion
{
    std::string model;
    std::string adapter; ///< Empty for the model without an adapter.
    std::string weightsVersion;

    bool operator==(const ModelVersion &) const = default;

    bool operator<(const ModelVersion &other) const
    {
        return std::tie(model, adapter, weightsVersion) < std::tie(other.model, other.adapter, other.weightsVersion);
    }
};

/// \brief State of a backend server that decides whether it may get new work.
enum class BackendServerState {
    Live,
    Leaving, ///< Finishes its requests and gets no new ones.
    Dead,
};

/// \brief A backend server as described by settings, the host list and heartbeats.
struct BackendServer
{
    BackendServerId id{};
    std::string name;
    std::string endpoint; ///< Address on which its agent listens, for instance "tcp://127.0.0.1:7000".
    std::string failureDomain;
    std::set<ModelVersion> served;
    std::string service; ///< Name of the service that it offers; empty for a model engine.
    BackendServerState state = BackendServerState::Live;
    std::uint64_t incarnation = 0; ///< Changes when the server restarts, which loses its caches and requests; 0 if unknown.
    std::string softwareVersion; ///< Version of its software; empty if it names none.
};

/// \brief Returns the id of the backend server named \a name; it is the same in every process.
BackendServerId backendServerId(const std::string &name);

} // namespace Verbena::Decisions
