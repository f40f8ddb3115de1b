#pragma once

#include "result.h"

#include <cstddef>
#include <string>

namespace Verbena::Core {

/// \brief Longest text of a file that says how a process runs; many times the length of any.
inline constexpr std::size_t maximumSettingsBytes = 1024 * 1024;

/// \brief Reads the file \a path. Errors, with \a step: NotFound if it cannot be read, ResourceExhausted if it has more than \a maximumBytes or no end.
Result<std::string> readTextFile(const std::string &path, std::size_t maximumBytes, const char *step);

} // namespace Verbena::Core
