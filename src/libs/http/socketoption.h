#pragma once

#include <sys/socket.h>

namespace Verbena::Http {

/// \brief Sets an \a option of a socket. If the kernel does not support it, only the detection of a failed host takes longer.
template<typename Value>
void setSocketOption(int descriptor, int level, int option, const Value &value)
{
    (void)setsockopt(descriptor, level, option, &value, sizeof value);
}

} // namespace Verbena::Http
