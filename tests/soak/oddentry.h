#pragma once

#include <decisions/spread/randomsource.h>

#include <nlohmann/json.hpp>

namespace Verbena::Soak {

/// \brief Returns \a entry with one part, at any depth, replaced by another kind of value, dropped or doubled.
nlohmann::json oddEntry(const nlohmann::json &entry, Decisions::RandomSource &random);

/// \brief Returns \a entry with each of its models named twice.
nlohmann::json withModelsTwice(const nlohmann::json &entry);

} // namespace Verbena::Soak
