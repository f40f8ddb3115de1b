#include "usageclaim.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Upper limit of the time for which callers are told to wait.
constexpr std::chrono::seconds maximumFillTime{60};

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
    const double seconds = perSecond > 0 ? missing / perSecond : static_cast<double>(maximumFillTime.count());
    const std::chrono::duration<double> bounded(std::clamp(seconds, 0.0, static_cast<double>(maximumFillTime.count())));
    return std::chrono::ceil<std::chrono::milliseconds>(bounded);
}

} // namespace Verbena::Decisions
