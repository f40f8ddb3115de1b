#pragma once

#include <core/boottime.h>

#include <chrono>

namespace Verbena::Store {

/// \brief The store's own clock, as its answers tell it: steady, and the same for all hosts.
struct StoreClock
{
    using duration = std::chrono::milliseconds;
    using time_point = std::chrono::time_point<StoreClock>;
};

/// \brief A moment of the store's clock.
using StoreTime = StoreClock::time_point;

/// \brief What the store's clock said in the answer to a question that was asked at askedAt; not later than it truly was when the answer came.
struct StoreReading
{
    StoreTime said;
    Core::BootTime askedAt;
};

} // namespace Verbena::Store
