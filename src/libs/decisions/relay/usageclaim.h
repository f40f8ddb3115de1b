#pragma once

#include "relayconfiguration.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Verbena::Decisions {

/// \brief The usage that one request claims of its organisation's usage cap.
struct UsageClaim
{
    std::string organisation;
    UsageCap cap;
    std::uint64_t capVersion = 0; ///< Version of the configuration that declares the cap.
    double cost = 0;
    std::optional<std::uint32_t> priority = std::nullopt; ///< From 0, the most urgent, to 9; nothing from a router that names none.
};

/// \brief The decision on a usage claim.
struct UsageVerdict
{
    bool isGranted = false;
    std::chrono::milliseconds retryAfter{0}; ///< Time until the usage cap would allow the request, if it is not granted.
};

/// \brief Returns the cost of a request under \a cap. \a tokens is its number of tokens, if the request states it.
double usageCost(const UsageCap &cap, std::optional<std::uint64_t> tokens);

/// \brief Returns the time in which a bucket that fills by \a perSecond gains \a missing.
std::chrono::milliseconds timeToFill(double missing, double perSecond);

/// \brief Returns the time after which a caller should retry, \a earliest or a bounded time later. \a part, from 0 to 1, is drawn at random by the caller so
/// that refused requests do not return together.
std::chrono::milliseconds spreadRetry(std::chrono::milliseconds earliest, double part);

} // namespace Verbena::Decisions
