#pragma once

#include <store/storetime.h>

#include <cstdint>
#include <optional>

namespace Verbena::Relay {

/// \brief A moment of the store's clock as it goes over the wire: plus 1, so that 0 says that there is none.
std::uint64_t encodeStoreTime(const std::optional<Store::StoreTime> &moment);
std::optional<Store::StoreTime> decodeStoreTime(std::uint64_t moment);

} // namespace Verbena::Relay
