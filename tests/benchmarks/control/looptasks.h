#pragma once

#include "spreadfigures.h"

namespace Verbena::Bench {

/// \brief Runs \a processes settings tasks with sockets of their own on loopback and the platform's stand-in beside them, and spreads
/// \a changes. All tasks share one thread, so that processor time is theirs together.
SpreadFigures runOnLoopback(int processes, int changes);

/// \brief How a process starts from one peer that holds a tree of some size.
struct StartFigures
{
    int organisations = 0;
    std::chrono::microseconds untilReady{0};
    double processorSeconds = 0; ///< Of both processes.
};

/// \brief Starts a process beside one that holds \a organisations.
StartFigures runStart(int organisations);

} // namespace Verbena::Bench
