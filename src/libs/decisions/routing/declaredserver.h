#pragma once

#include "backendserver.h"

#include <settings/inforcesettings.h>

namespace Verbena::Decisions {

/// \brief The backend server that settings declare as \a declared, with the weights versions in force; its state is Live.
BackendServer declaredServer(const Settings::BackendServerSettings &declared, const Settings::InForceSettings &settings);

/// \brief What \a name, "model" or "model:adapter", stands for at the version of the weights in force.
ModelVersion declaredVersion(const std::string &name, const Settings::InForceSettings &settings);

} // namespace Verbena::Decisions
