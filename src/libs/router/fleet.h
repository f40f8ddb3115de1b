#pragma once

#include <decisions/routing/backendserver.h>
#include <settings/inforcesettings.h>

#include <string>
#include <vector>

namespace Verbena::Router {

/// \brief A model as callers name it.
struct ModelName
{
    std::string model;
    std::string adapter; ///< Empty for the bare model.

    /// \brief Reads "model" or "model:adapter".
    static ModelName fromText(const std::string &text);

    std::string toText() const;
};

/// \brief What \a name stands for at the version of the weights in force.
Decisions::ModelVersion versionInForce(const ModelName &name, const Settings::InForceSettings &settings);

/// \brief The backend servers that settings declare; a drained one is leaving.
std::vector<Decisions::BackendServer> fleetOf(const Settings::InForceSettings &settings);

} // namespace Verbena::Router
