#pragma once

#include <cerrno>

namespace Verbena::Http {

/// \brief Returns whether the system call that failed with \a error found no descriptor or memory left on this host.
inline bool isResourceShortage(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

} // namespace Verbena::Http
