#include "storeclockestimate.h"

#include <algorithm>

namespace Verbena::Store {

namespace {

// Two clocks drift apart by less than 1/driftDivisor: twice the 100 parts per million by which a host's clock may be off. Without this allowance, a
// reading that is three days old makes ages 5 s too small if the clocks differ by 20 parts per million.
constexpr std::int64_t driftDivisor = 5000;

} // namespace

// The store's clock was read after the request was sent, so each answer gives an upper bound of the offset, and the fastest answers give the best ones.
// The host's clock also counts while the host is suspended, so a bound stays valid except for the drift of both clocks.
void StoreClockEstimate::addReading(const StoreReading &reading)
{
    const Bound bound{reading.storeTime.time_since_epoch() - reading.requestedAt.time_since_epoch(), reading.requestedAt};
    if (!m_bound.has_value() || bound.offset <= offsetAt(*m_bound, reading.requestedAt)) {
        m_bound = bound;
    }
}

Core::BootClock::duration StoreClockEstimate::offsetAt(const Bound &bound, Core::BootTime now)
{
    return bound.offset + std::max(now - bound.at, Core::BootClock::duration(0)) / driftDivisor;
}

std::optional<StoreTime> StoreClockEstimate::latest(Core::BootTime now) const
{
    if (!m_bound.has_value()) {
        return std::nullopt;
    }
    return StoreTime(std::chrono::ceil<StoreTime::duration>(now.time_since_epoch() + offsetAt(*m_bound, now)));
}

std::optional<std::chrono::milliseconds> StoreClockEstimate::age(StoreTime time, Core::BootTime now) const
{
    const std::optional<StoreTime> present = latest(now);
    if (!present.has_value() || time > *present) {
        return std::nullopt;
    }
    return *present - time;
}

} // namespace Verbena::Store
