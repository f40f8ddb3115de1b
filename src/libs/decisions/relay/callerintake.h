#pragma once

#include <core/time.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace Verbena::Decisions {

/// \brief What shows whether a router keeps up with its callers.
struct RouterLoad
{
    std::chrono::milliseconds lag{0}; ///< Time by which the event loop was late for a timer.
    std::uint64_t connections = 0; ///< Open connections of callers and to backend servers.
    bool isMemoryShort = false;
};

/// \brief Decides when a router that falls behind asks the load balancer for no new callers, and when again.
///
/// A pause is long enough for the balancer to notice, and all pauses together stay below a tenth of the time. Routers begin theirs in different turns, so that
/// a failure domain keeps most of its routers.
class CallerIntake
{
public:
    /// \brief Creates the decision of a process that began at \a start; without a limit of \a descriptors it always wants callers.
    CallerIntake(std::optional<std::uint64_t> descriptors, std::uint64_t seed, Core::TimePoint start);

    /// \brief Records \a load at \a now; called ten times a second. Returns whether the decision has changed.
    bool record(const RouterLoad &load, Core::TimePoint now);

    /// \brief Returns whether the load balancer should send new callers.
    bool wantsCallers() const;

    /// \brief Returns whether the router falls behind, also if it may not pause now.
    bool isBehind() const;

    /// \brief Returns the lag, averaged over the last recordings.
    std::chrono::milliseconds averageLag() const;

private:
    void updateAverage(const RouterLoad &load);
    void updateAllowance(Core::TimePoint now);
    void updateBehind(const RouterLoad &load);
    bool mayBegin(Core::TimePoint now) const;
    bool mustEnd(Core::TimePoint now) const;

    std::optional<std::uint64_t> m_descriptors;
    std::chrono::milliseconds m_turn; ///< Begin of this router's turn in each round.
    Core::TimePoint m_start;
    Core::TimePoint m_recordedAt;
    Core::TimePoint m_pausedAt;
    std::chrono::duration<double, std::milli> m_averageLag{0};
    std::chrono::duration<double, std::milli> m_allowance{0}; ///< Time for which the router may pause.
    bool m_isBehind = false;
    bool m_isPaused = false;
};

} // namespace Verbena::Decisions
