#pragma once

#include <decisions/spread/settingsstore.h>

#include <string>

namespace Verbena::Operator {

/// \brief The rows of \a store within \a subtree, all if that is empty, as YAML that apply takes.
std::string renderTree(const Decisions::SettingsStore &store, const std::string &subtree);

} // namespace Verbena::Operator
