#pragma once

#include "storetime.h"

#include <optional>

namespace Verbena::Store {

/// \brief Estimate of the store's clock from the readings that a process received, for ages of store times.
class StoreClockEstimate
{
public:
    /// \brief Updates the estimate with \a reading.
    void addReading(const StoreReading &reading);

    /// \brief Returns the latest possible time of the store's clock at \a now; nothing before the first reading.
    std::optional<StoreTime> latest(Core::BootTime now) const;

    /// \brief Returns the maximum age of \a time at \a now; nothing before the first reading, or for a time in the future, which cannot have been read from
    /// the store's clock.
    std::optional<std::chrono::milliseconds> age(StoreTime time, Core::BootTime now) const;

private:
    // Upper bound of the store's clock minus this host's clock, at a time of the latter.
    struct Bound
    {
        Core::BootClock::duration offset;
        Core::BootTime at;
    };

    static Core::BootClock::duration offsetAt(const Bound &bound, Core::BootTime now);

    std::optional<Bound> m_bound;
};

} // namespace Verbena::Store
