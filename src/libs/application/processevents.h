#pragma once

#include <observe/event.h>

namespace Verbena::Application {

using Observe::Event;
using Observe::Severity;

inline constexpr Event processStarted{1000, Severity::Info, "process_started", "The process has started and listens."};
inline constexpr Event signalReceived{1001, Severity::Info, "signal_received", "The process got a signal."};
inline constexpr Event processStopped{1002, Severity::Info, "process_stopped", "The process has ended its work."};
inline constexpr Event settingsRefused{1003, Severity::Error, "settings_refused", "The settings file is wrong, so that the process does not start."};
inline constexpr Event startFailed{1004, Severity::Error, "start_failed", "The process could not start."};
inline constexpr Event startDelayed{1005, Severity::Warning, "start_delayed", "A step of the start failed and is tried again."};
inline constexpr Event processStuck{1006, Severity::Error, "process_stuck", "The event loop computes without end; the process ends."};
inline constexpr Event processUnwatched{1007, Severity::Warning, "process_unwatched", "Nothing will notice if the event loop computes without end."};

} // namespace Verbena::Application
