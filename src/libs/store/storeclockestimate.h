#pragma once

#include "storetime.h"

#include <optional>

namespace Verbena::Store {

/// \brief Tells how long ago a moment of the store's clock was, from the readings that a process has got.
class StoreClockEstimate
{
public:
    void note(const StoreReading &reading);

    /// \brief The latest that it may be by the store's clock at \a now; nothing before the first reading.
    std::optional<StoreTime> latest(Core::BootTime now) const;

    /// \brief How long ago \a moment was at most; nothing before the first reading, or if it is still to come, and so is none that was ever read.
    std::optional<std::chrono::milliseconds> age(StoreTime moment, Core::BootTime now) const;

private:
    // How far the store's clock is ahead of this host's, at most, as of a moment of the latter.
    struct Bound
    {
        Core::BootClock::duration ahead;
        Core::BootTime at;
    };

    static Core::BootClock::duration aheadAt(const Bound &bound, Core::BootTime now);

    std::optional<Bound> m_bound;
};

} // namespace Verbena::Store
