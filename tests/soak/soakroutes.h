#pragma once

#include <chrono>
#include <string>

namespace Verbena::Soak {

/// \brief Returns whether a request for \a path may run more than once.
bool mayRepeat(const std::string &path);

/// \brief Returns whether the answer to \a path is a stream of events.
bool isStream(const std::string &path);

/// \brief Returns whether requests for \a path carry a prompt for an engine, whose stream may go on at another one.
bool isResumable(const std::string &path);

/// \brief Returns whether the backend server works on \a path as long as its work time says, and not a few milliseconds.
bool isSlow(const std::string &path);

/// \brief Deadline that callers send with a request for \a path.
std::chrono::milliseconds deadlineOf(const std::string &path);

} // namespace Verbena::Soak
