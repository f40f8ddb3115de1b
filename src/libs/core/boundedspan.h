#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace Verbena::Core {

/// \brief Returns \a count of the unit of \a Span, and a day at most.
///
/// For numbers that another process names: a moment can be computed from the span, whatever the number is.
template<typename Span>
constexpr Span boundedSpan(std::uint64_t count)
{
    constexpr auto longest = std::chrono::duration_cast<Span>(std::chrono::hours(24));
    return Span(static_cast<typename Span::rep>(std::min(count, static_cast<std::uint64_t>(longest.count()))));
}

} // namespace Verbena::Core
