#pragma once

#include <cstddef>
#include <cstdint>

namespace Verbena::SettingsTree {

inline constexpr std::size_t maximumNameBytes = 64; ///< Of an organisation, team, model, adapter, service or backend server.
inline constexpr std::size_t maximumListItems = 256; ///< In one list of one row.
inline constexpr std::size_t maximumTextBytes = 256; ///< Of an endpoint, a version or the name of a call.
inline constexpr std::size_t maximumRowBytes = 64 * 1024; ///< Of the encoded content of one row.
inline constexpr double minimumShare = 1e-6;
inline constexpr double maximumShare = 1e9;
inline constexpr std::uint32_t maximumCount = 1'000'000; ///< Of replicas, concurrent requests and marks.

} // namespace Verbena::SettingsTree
