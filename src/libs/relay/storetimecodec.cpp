#include "storetimecodec.h"

namespace Verbena::Relay {

std::uint64_t encodeStoreTime(const std::optional<Store::StoreTime> &time)
{
    return time.has_value() ? static_cast<std::uint64_t>(time->time_since_epoch().count()) + 1 : 0;
}

// A time that no store reaches is none.
std::optional<Store::StoreTime> decodeStoreTime(std::uint64_t time)
{
    return time == 0 || time > Store::latestStoreTime ? std::nullopt : std::optional(Store::StoreTime(std::chrono::milliseconds(time - 1)));
}

} // namespace Verbena::Relay
