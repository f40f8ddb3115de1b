#pragma once

#include <decisions/relay/callerintake.h>

#include <cstdint>
#include <optional>

namespace Verbena::Observe {
class Metrics;
}

namespace Verbena::Relay {

/// \brief Measures whether a router keeps up, asks whether it wants new callers, and reports both.
class IntakeMonitor
{
public:
    IntakeMonitor(std::optional<std::uint64_t> descriptors, std::uint64_t seed, Core::TimePoint now, Observe::Metrics &metrics);

    /// \brief Records that a timer which was due at \a due fired at \a now.
    void record(Core::TimePoint due, Core::TimePoint now, bool isMemoryShort);

    /// \brief Returns whether the load balancer should send new callers.
    bool wantsCallers() const;

private:
    void report(const Decisions::RouterLoad &load);

    Decisions::CallerIntake m_intake;
    Observe::Metrics &m_metrics;
    bool m_wasBehind = false;
};

} // namespace Verbena::Relay
