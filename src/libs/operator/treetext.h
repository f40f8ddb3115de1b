#pragma once

#include <decisions/spread/settingsstore.h>

#include <string>

namespace Verbena::Operator {

/// \brief Returns the rows of \a store below \a subtree, or all if that is empty, as YAML for the command apply.
std::string renderTree(const Decisions::SettingsStore &store, const std::string &subtree);

} // namespace Verbena::Operator
