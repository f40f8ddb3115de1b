#include "spreadfigures.h"

#include <algorithm>
#include <cmath>

namespace Verbena::Bench {

std::chrono::microseconds SpreadFigures::delayQuantile(double q) const
{
    if (delays.empty()) {
        return {};
    }
    std::vector<std::chrono::microseconds> sorted = delays;
    const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(sorted.size())));
    const std::size_t index = std::clamp<std::size_t>(rank, 1, sorted.size()) - 1;
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index), sorted.end());
    return sorted[index];
}

} // namespace Verbena::Bench
