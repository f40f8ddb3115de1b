#pragma once

#include "relayconfiguration.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Verbena::Decisions {

/// \brief What one request uses of its organisation's cap.
struct UsageClaim
{
    std::string organisation;
    UsageCap cap;
    std::uint64_t capVersion = 0; ///< Of the configuration that declares the cap.
    double cost = 0;
};

/// \brief Whether a request stays within the cap.
struct UsageVerdict
{
    bool isGranted = false;
    std::chrono::milliseconds comeBack{0}; ///< Until the cap leaves room, if it is not granted.
};

/// \brief What a request with \a tokens, if it says how many, costs of \a cap.
double usageCost(const UsageCap &cap, std::optional<std::uint64_t> tokens);

/// \brief Until a bucket that fills by \a perSecond has \a missing more.
std::chrono::milliseconds timeToFill(double missing, double perSecond);

} // namespace Verbena::Decisions
