#include "usageclaim.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Nobody waits longer for a cap.
constexpr std::chrono::seconds longestFill{60};

} // namespace

double usageCost(const UsageCap &cap, std::optional<std::uint64_t> tokens)
{
    if (!cap.isInTokens) {
        return 1;
    }
    return tokens.has_value() ? static_cast<double>(*tokens) : cap.plainCost;
}

std::chrono::milliseconds timeToFill(double missing, double perSecond)
{
    const double seconds = perSecond > 0 ? missing / perSecond : static_cast<double>(longestFill.count());
    const std::chrono::duration<double> bounded(std::clamp(seconds, 0.0, static_cast<double>(longestFill.count())));
    return std::chrono::ceil<std::chrono::milliseconds>(bounded);
}

} // namespace Verbena::Decisions
