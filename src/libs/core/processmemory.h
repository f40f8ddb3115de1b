#pragma once

#include <cstdint>
#include <string_view>

#include <sys/types.h>

namespace Verbena::Core {

/// \brief Returns the bytes that the system names in the line \a name of the status of \a process, for instance "VmHWM:", the most resident memory that it
/// has had; 0 if it names none, as for a process that has ended.
std::uint64_t processMemory(pid_t process, std::string_view name);

} // namespace Verbena::Core
