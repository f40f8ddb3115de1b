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
struct AnnouncedWeights
{
    std::string model;
    std::uint64_t version = 0;
};

/// \brief Removal of a backend server's entry.
struct RemovedServer
{
    std::string id;
};

/// \brief Decoded row of the store; std::monostate for a row that a relay does not need.
using DeploymentRow = std::variant<std::monostate, Decisions::RelayConfiguration, AnnouncedWeights, Decisions::RegisteredServer, RemovedServer>;

/// \brief Names of the tables that describe a deployment.
struct DeploymentTables
{
    std::string declarations; ///< Configuration and weights, by operators.
    std::string servers; ///< The register, by the backend servers themselves.
};

/// \brief Interface for decoding the rows of the platform's store.
class DeploymentDecoder
{
public:
    virtual ~DeploymentDecoder() = default;

    /// \brief Returns the names of the tables to be followed.
    virtual DeploymentTables tables() const = 0;

    /// \brief Decodes \a row of \a table. Errors: InvalidArgument, with the invalid field.
    virtual Core::Result<DeploymentRow> decode(const std::string &table, const Store::TableRow &row) const = 0;
};

} // namespace Verbena::Relay
