#pragma once

namespace Verbena::Application {

/// \brief Keeps SIGHUP, SIGTERM and SIGINT pending until an EventLoop::SignalWatcher handles them, and ignores SIGPIPE.
///
/// To be called first in main(), as threads inherit the signal mask.
void prepareSignals();

/// \brief Returns whether a SIGTERM or SIGINT is pending.
bool isEndRequested();

} // namespace Verbena::Application
