#pragma once

namespace Verbena::Observe {

/// \brief How important an event is to the operators on call.
enum class Severity {
    Debug,
    Info,
    Warning, ///< Something was refused or retried; no immediate action is needed.
    Error, ///< Something does not work until it is repaired, by an operator or automatically.
};

/// \brief A kind of log event. Each is defined once, as a constant in the <lib>events.h of its library.
///
/// Numbers: 1000 process, 1500 http and wire, 2000 router, 3000 agent, 4000 settings, 5000 platform, 6000 membership and
/// leases, 7000 operator's tool. docs/EVENTS.md lists every event; a test checks that the list is complete.
struct Event
{
    int number;
    Severity severity;
    const char *name; ///< Stable name in lower case with underscores.
    const char *text; ///< Description, as a full sentence.
};

} // namespace Verbena::Observe
