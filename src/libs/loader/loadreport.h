#pragma once

namespace Verbena::Loader {

/// \brief Writes to standard error that \a process could not load its module \a path because of \a failure, as any failed start is logged and printed;
/// returns the exit status.
int reportLoadFailure(const char *process, const char *path, const char *failure);

} // namespace Verbena::Loader
