#pragma once

#include <core/boottime.h>

#include <chrono>

namespace Verbena::Store {

/// \brief The store's own clock as reported in its answers: steady, and the same for all hosts.
struct StoreClock
{
    using duration = std::chrono::milliseconds;
    using time_point = std::chrono::time_point<StoreClock>;
};

/// \brief Time point of the store's clock.
using StoreTime = StoreClock::time_point;

/// \brief Reading of the store's clock in the answer to a request that was sent at requestedAt. It is not later than the store's clock was when the answer
/// arrived.
struct StoreReading
{
    StoreTime storeTime;
    Core::BootTime requestedAt;
};

} // namespace Verbena::Store
