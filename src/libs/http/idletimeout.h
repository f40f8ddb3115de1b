#pragma once

#include "messagereader.h"

#include <chrono>
#include <optional>

namespace Verbena::Http {

/// \brief Returns the time after which the sender of \a head closes an idle connection, by its Keep-Alive field; nothing if it names none.
std::optional<std::chrono::seconds> idleTimeout(const MessageHead &head);

} // namespace Verbena::Http
