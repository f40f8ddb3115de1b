#pragma once

#include <cstddef>
#include <cstdint>

namespace Verbena::SettingsTree {

inline constexpr std::size_t maximumNameBytes = 64; ///< Size of a name of an organisation, team, model, adapter, service or backend server.
inline constexpr std::size_t maximumListItems = 256; ///< Number of items in one list of a row.
inline constexpr std::size_t maximumTextBytes = 256; ///< Size of an endpoint, a version or the name of a call.
inline constexpr std::size_t maximumRowBytes = 64 * 1024; ///< Size of the encoded content of a row.
inline constexpr double minimumShare = 1e-6;
inline constexpr double maximumShare = 1e9;
inline constexpr std::uint32_t maximumCount = 1'000'000; ///< Value of a number of replicas, concurrent requests or marks.

} // namespace Verbena::SettingsTree
