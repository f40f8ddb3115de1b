#pragma once

#include <eventloop/loopwatchdog.h>

namespace Verbena::Application {

/// \brief Makes the process end, with a line and its stack on standard error, if one iteration of \a loop computes without end. Returns null, and logs a
/// warning, where the system cannot tell.
std::unique_ptr<EventLoop::LoopWatchdog> watchLoop(EventLoop::Loop &loop);

} // namespace Verbena::Application
