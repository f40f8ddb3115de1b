#pragma once

#include <core/time.h>

#include <cstdint>
#include <optional>

namespace Verbena::Decisions {

/// \brief Bounds of an OverloadControl.
struct OverloadOptions
{
    std::uint32_t highestMark = 15;
    std::chrono::milliseconds standingQueueTime{1000}; ///< For so long the wait must be high without a break before more is refused.
    std::chrono::milliseconds highWait{1000}; ///< Above, more is refused.
    std::chrono::milliseconds lowWait{300}; ///< Below for several periods, less is refused.
    std::chrono::milliseconds period{100};
    std::uint32_t lowWaitPeriods = 2;
};

/// \brief The overload level that an agent tells routers, from the wait in its queue.
///
/// Requests marked at or above the level are to be refused before they are sent. The level falls fast while the wait is
/// high and rises step by step after the wait has been low for some periods. Only a queue that stands counts: one dear
/// prompt makes a wait that is high for a moment.
class OverloadControl
{
public:
    explicit OverloadControl(const OverloadOptions &options = {});

    /// \brief Takes the wait that a new request would have at \a now.
    void addWaitSample(std::chrono::microseconds wait, Core::TimePoint now);

    /// \brief The lowest mark that is refused; 0 if none is. Mark 0 is never refused by level.
    std::uint32_t level() const;

    bool isRefused(std::uint32_t mark) const;

    /// \brief When the wait is to be noted again, even if nothing else happens.
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
