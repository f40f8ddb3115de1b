#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace Verbena::Observe {

/// \brief Returns "yes" or "no", as the fields of events have it.
std::string yesOrNo(bool value);

/// \brief Returns the number of milliseconds in \a time; empty if there is none.
std::string millisecondsText(std::optional<std::chrono::milliseconds> time);

} // namespace Verbena::Observe
