#pragma once

#include <core/boottime.h>

#include <chrono>
#include <cstdint>

namespace Verbena::Store {

/// \brief The store's own clock as reported in its answers: steady, and the same for all hosts.
struct StoreClock
{
    using duration = std::chrono::milliseconds;
    using time_point = std::chrono::time_point<StoreClock>;
};

/// \brief Time point of the store's clock.
using StoreTime = StoreClock::time_point;

/// \brief The largest time, in milliseconds, that is taken for one of a store: thousands of years, so that ages can be computed without an overflow.
inline constexpr std::uint64_t latestStoreTime = std::uint64_t(1) << 47;

/// \brief Reading of the store's clock in the answer to a request that was sent at requestedAt. It is not later than the store's clock was when the answer
/// arrived.
struct StoreReading
{
    StoreTime storeTime;
    Core::BootTime requestedAt;
};

} // namespace Verbena::Store
