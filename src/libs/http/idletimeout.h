#pragma once

#include "messagereader.h"

#include <chrono>
#include <optional>
#include <string>

namespace Verbena::Http {

/// \brief Returns the time after which the sender of \a head closes an idle connection, by its Keep-Alive field; nothing if it names none.
std::optional<std::chrono::seconds> idleTimeout(const MessageHead &head);

/// \brief Returns the idle timeout to announce on a connection that is closed after \a timeout without a request; nothing if that is too short to announce.
std::optional<std::chrono::seconds> announcedIdleTimeout(std::chrono::milliseconds timeout);

/// \brief Returns the value of a Keep-Alive field that announces \a timeout.
std::string keepAliveText(std::chrono::seconds timeout);

} // namespace Verbena::Http
