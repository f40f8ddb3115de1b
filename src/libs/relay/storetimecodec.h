#pragma once

#include <store/storetime.h>

#include <cstdint>
#include <optional>

namespace Verbena::Relay {

/// \brief Returns \a time in milliseconds plus 1 for the wire; 0 means that there is no time.
std::uint64_t encodeStoreTime(const std::optional<Store::StoreTime> &time);
/// \brief Returns the time that encodeStoreTime() encoded as \a time; nothing for 0.
std::optional<Store::StoreTime> decodeStoreTime(std::uint64_t time);

} // namespace Verbena::Relay
