#pragma once

namespace Verbena::Observe {

/// \brief How much an event matters to people on call.
enum class Severity {
    Debug,
    Info,
    Warning, ///< Something was refused or retried; nobody needs to wake up.
    Error, ///< Something is broken until somebody or something mends it.
};

/// \brief A kind of thing that logs tell of. Each is defined once, as a constant in the <lib>events.h of its library.
///
/// Numbers: 1000 process, 1500 http and wire, 2000 router, 3000 agent, 4000 settings, 5000 platform, 6000 membership and
/// leases, 7000 operator's tool. docs/EVENTS.md lists every event; a test compares.
struct Event
{
    int number;
    Severity severity;
    const char *name; ///< Lower case with underscores, stable.
    const char *text; ///< A full sentence.
};

} // namespace Verbena::Observe
