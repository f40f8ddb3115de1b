#pragma once

#include <core/time.h>

#include <cstdint>
#include <optional>

namespace Verbena::Decisions {

/// \brief Thresholds and intervals of an OverloadControl.
struct OverloadOptions
{
    std::uint32_t highestMark = 15; ///< Maximum mark of a request; higher marks are treated as this one.
    std::chrono::milliseconds standingQueueTime{1000}; ///< Time for which the wait must stay above highWait before the level falls.
    std::chrono::milliseconds highWait{1000}; ///< Wait above which the level falls, so that more is refused.
    std::chrono::milliseconds lowWait{300}; ///< Wait below which the level rises after lowWaitPeriods.
    std::chrono::milliseconds period{100}; ///< Minimum time between two samples of the wait.
    std::uint32_t lowWaitPeriods = 2; ///< Number of consecutive periods with a low wait before the level rises by one.
};

/// \brief Computes the overload level that an agent reports to routers from the wait in its queue.
///
/// Routers should refuse requests with a mark at or above the level before sending them. The level falls quickly while the
/// wait is high and rises step by step after the wait has been low for some periods. Only a standing queue lowers the
/// level, because a single expensive prompt makes the wait high for a short time only.
class OverloadControl
{
public:
    explicit OverloadControl(const OverloadOptions &options = {});

    /// \brief Updates the level from the wait that a new request would have at \a now. Ignores all but one sample in each period.
    void addWaitSample(std::chrono::microseconds wait, Core::TimePoint now);

    /// \brief Returns the lowest mark that is refused, or 0 if none is. Mark 0 is never refused because of the level.
    std::uint32_t level() const;

    /// \brief Returns whether requests with \a mark are refused at the current level.
    bool isRefused(std::uint32_t mark) const;

    /// \brief Returns the time at which addWaitSample() must be called even if nothing else happens, or nothing at level 0.
    std::optional<Core::TimePoint> nextDeadline() const;

private:
    void lowerLevel(std::chrono::microseconds wait);
    void raiseLevel();

    OverloadOptions m_options;
    std::uint32_t m_level;
    std::uint32_t m_lowWaitPeriods = 0;
    Core::TimePoint m_nextPeriod;
    std::optional<Core::TimePoint> m_highSince;
};

} // namespace Verbena::Decisions
