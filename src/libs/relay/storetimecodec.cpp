#include "storetimecodec.h"

namespace Verbena::Relay {

std::uint64_t encodeStoreTime(const std::optional<Store::StoreTime> &moment)
{
    return moment.has_value() ? static_cast<std::uint64_t>(moment->time_since_epoch().count()) + 1 : 0;
}

std::optional<Store::StoreTime> decodeStoreTime(std::uint64_t moment)
{
    return moment == 0 ? std::nullopt : std::optional(Store::StoreTime(std::chrono::milliseconds(moment - 1)));
}

} // namespace Verbena::Relay
