#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Verbena::Decisions {

/// \brief Names a backend server in decisions; a hash of its name.
enum class BackendServerId : std::uint64_t {};

/// \brief What a request asks for and an engine can hold: a model with an adapter and the version of its weights.
struct ModelVersion
{
    std::string model;
    std::string adapter; ///< Empty for the bare model.
    std::string weightsVersion;

    bool operator==(const ModelVersion &) const = default;

    bool operator<(const ModelVersion &other) const
    {
        return std::tie(model, adapter, weightsVersion) < std::tie(other.model, other.adapter, other.weightsVersion);
    }
};

/// \brief Whether a backend server may get new work.
enum class BackendServerState {
    Live,
    Leaving, ///< Finishes what it has and gets nothing new.
    Dead,
};

/// \brief A backend server as routers know it from settings, the host list and heartbeats.
struct BackendServer
{
    BackendServerId id{};
    std::string name;
    std::string endpoint; ///< Where its agent listens, for instance "tcp://127.0.0.1:7000".
    std::string failureDomain;
    std::vector<ModelVersion> served;
    std::string service; ///< Name of the plain service; empty for a model engine.
    BackendServerState state = BackendServerState::Live;
    std::uint64_t incarnation = 0; ///< Another one means that it started again and knows nothing of before; 0 if it is not told.
};

/// \brief The id that belongs to \a name, the same in every process.
BackendServerId backendServerId(const std::string &name);

} // namespace Verbena::Decisions
