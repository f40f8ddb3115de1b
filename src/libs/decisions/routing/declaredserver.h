#pragma once

#include "backendserver.h"

#include <settings/inforcesettings.h>

namespace Verbena::Decisions {

/// \brief Returns the backend server that \a declared describes, in the state Live.
///
/// The versions of its weights are those in force in \a settings.
BackendServer declaredServer(const Settings::BackendServerSettings &declared, const Settings::InForceSettings &settings);

/// \brief Returns the model version for \a name, which is "model" or "model:adapter", with the version of the weights in force.
///
/// The version is empty if \a settings do not contain the model.
ModelVersion declaredVersion(const std::string &name, const Settings::InForceSettings &settings);

} // namespace Verbena::Decisions
