#include "usageclaim.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Upper limit of the time for which callers are told to wait.
constexpr std::chrono::seconds maximumFillTime{60};

// Limits of the random part of a retry time: as a fraction of that time, and the least for short ones, over which about as many requests return as a busy
// organisation may send.
constexpr double spreadFraction = 0.25;
constexpr std::chrono::milliseconds minimumSpread{150};

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

std::chrono::milliseconds spreadRetry(std::chrono::milliseconds earliest, double part)
{
    const std::chrono::duration<double, std::milli> spread = std::max<std::chrono::duration<double, std::milli>>(minimumSpread, spreadFraction * earliest);
    return earliest + std::chrono::ceil<std::chrono::milliseconds>(std::clamp(part, 0.0, 1.0) * spread);
}

} // namespace Verbena::Decisions
