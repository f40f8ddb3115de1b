#include "storeclockestimate.h"

#include <algorithm>

namespace Verbena::Store {

// The store's clock was read after the question was asked. So each answer bounds how far it is ahead, the quickest answers best; and since the host's clock
// goes on while the host is suspended, a bound that once held holds for ever.
void StoreClockEstimate::note(const StoreReading &reading)
{
    const Core::BootClock::duration ahead = reading.said.time_since_epoch() - reading.askedAt.time_since_epoch();
    m_ahead = std::min(m_ahead.value_or(ahead), ahead);
}

std::optional<StoreTime> StoreClockEstimate::latest(Core::BootTime now) const
{
    if (!m_ahead.has_value()) {
        return std::nullopt;
    }
    return StoreTime(std::chrono::ceil<StoreTime::duration>(now.time_since_epoch() + *m_ahead));
}

std::optional<std::chrono::milliseconds> StoreClockEstimate::age(StoreTime moment, Core::BootTime now) const
{
    const std::optional<StoreTime> present = latest(now);
    return present.has_value() ? std::optional(*present - moment) : std::nullopt;
}

} // namespace Verbena::Store
