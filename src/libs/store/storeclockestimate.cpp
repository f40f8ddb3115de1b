#include "storeclockestimate.h"

#include <algorithm>

namespace Verbena::Store {

namespace {

// Two clocks drift apart by less than that: twice the hundred parts in a million that a host's may be wrong by. Without it a reading of three days ago made
// ages 5 s too small where clocks differ by 20 parts.
constexpr std::int64_t driftDivisor = 5000;

} // namespace

// The store's clock was read after the question was asked. So each answer bounds how far it is ahead, the quickest answers best; and since the host's clock
// goes on while the host is suspended, such a bound holds on, but for the drift of both.
void StoreClockEstimate::note(const StoreReading &reading)
{
    const Bound bound{reading.said.time_since_epoch() - reading.askedAt.time_since_epoch(), reading.askedAt};
    if (!m_bound.has_value() || bound.ahead <= aheadAt(*m_bound, reading.askedAt)) {
        m_bound = bound;
    }
}

Core::BootClock::duration StoreClockEstimate::aheadAt(const Bound &bound, Core::BootTime now)
{
    return bound.ahead + std::max(now - bound.at, Core::BootClock::duration(0)) / driftDivisor;
}

std::optional<StoreTime> StoreClockEstimate::latest(Core::BootTime now) const
{
    if (!m_bound.has_value()) {
        return std::nullopt;
    }
    return StoreTime(std::chrono::ceil<StoreTime::duration>(now.time_since_epoch() + aheadAt(*m_bound, now)));
}

std::optional<std::chrono::milliseconds> StoreClockEstimate::age(StoreTime moment, Core::BootTime now) const
{
    const std::optional<StoreTime> present = latest(now);
    if (!present.has_value() || moment > *present) {
        return std::nullopt;
    }
    return *present - moment;
}

} // namespace Verbena::Store
