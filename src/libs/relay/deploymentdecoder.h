#pragma once

#include <core/result.h>
#include <decisions/relay/relayconfiguration.h>
#include <decisions/relay/serverregister.h>
#include <store/tableservice.h>

#include <cstdint>
#include <string>
#include <variant>

namespace Verbena::Relay {

/// \brief New weights of a model that engines should run.
struct NamedWeights
{
    std::string model;
    std::uint64_t version = 0;
};

/// \brief The entry of a backend server is gone.
struct RemovedServer
{
    std::string id;
};

/// \brief What a row of the store means; nothing for a row that does not matter here.
using DeploymentRow = std::variant<std::monostate, Decisions::RelayConfiguration, NamedWeights, Decisions::RegisteredServer, RemovedServer>;

/// \brief The tables in which a deployment is written down.
struct DeploymentTables
{
    std::string declarations; ///< Configuration and weights, by operators.
    std::string servers; ///< The register, by the backend servers themselves.
};

/// \brief Understands the rows of the platform's store.
class DeploymentDecoder
{
public:
    virtual ~DeploymentDecoder() = default;

    virtual DeploymentTables tables() const = 0;

    /// \brief What \a row of \a table means. Errors: InvalidArgument, with the field that is wrong.
    virtual Core::Result<DeploymentRow> decode(const std::string &table, const Store::TableRow &row) const = 0;
};

} // namespace Verbena::Relay
