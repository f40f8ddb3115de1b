#pragma once

#include <decisions/routing/backendserver.h>
#include <settings/inforcesettings.h>

#include <string>
#include <vector>

namespace Verbena::Router {

/// \brief The name of a model as callers write it.
struct ModelName
{
    std::string model;
    std::string adapter; ///< Empty for the model without an adapter.

    /// \brief Parses "model" or "model:adapter".
    static ModelName fromText(const std::string &text);

    /// \brief Returns the name in the form that fromText() parses.
    std::string toText() const;
};

/// \brief Returns the model \a name with the version of its weights that \a settings put in force.
Decisions::ModelVersion versionInForce(const ModelName &name, const Settings::InForceSettings &settings);

/// \brief Returns the backend servers declared in \a settings; drained ones are leaving.
std::vector<Decisions::BackendServer> fleetOf(const Settings::InForceSettings &settings);

} // namespace Verbena::Router
