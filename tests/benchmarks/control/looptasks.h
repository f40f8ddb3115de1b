#pragma once

#include "spreadfigures.h"

namespace Verbena::Bench {

/// \brief Runs \a processes settings tasks with sockets of their own on loopback and the platform's stand-in beside them, and spreads
/// \a changes. All tasks share one thread, so that processor time is theirs together.
SpreadFigures runOnLoopback(int processes, int changes);

} // namespace Verbena::Bench
