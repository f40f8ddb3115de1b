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

    /// \brief How long ago \a moment was at most; nothing before the first reading.
    std::optional<std::chrono::milliseconds> age(StoreTime moment, Core::BootTime now) const;

private:
    std::optional<Core::BootClock::duration> m_ahead; ///< The store's clock less this host's, at most.
};

} // namespace Verbena::Store
