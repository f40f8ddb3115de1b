#pragma once

#include <chrono>

namespace Verbena::Decisions {

/// \brief Time since the epoch beyond which the expiry of a row makes no sense: the year 2200. The range of Core::WallTime ends in 2262.
inline constexpr std::chrono::seconds latestExpiry{7'258'118'400};

} // namespace Verbena::Decisions
