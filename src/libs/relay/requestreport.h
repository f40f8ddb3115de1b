#pragma once

#include <decisions/relay/fleetchoice.h>
#include <observe/metrics.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace Verbena::Relay {

/// \brief How a request ended, and what decided it.
struct RequestReport
{
    int status = 0;
    std::string_view outcome;
    Observe::TenantLabel label;
    std::string attemptId;
    std::string service;
    const Decisions::FleetChoice *choice = nullptr; ///< The last one; nothing if none was made.
    std::uint32_t sends = 0;
    Core::TimePoint arrival{};
    std::chrono::milliseconds firstPartAfter{-1}; ///< Below 0 if no part of an answer came.
    std::chrono::milliseconds total{0};
    std::uint64_t configuration = 0; ///< 0 if none was known.
};

/// \brief Logs the end of a request and counts it in \a metrics.
void reportEnd(const RequestReport &report, Observe::Metrics &metrics);

} // namespace Verbena::Relay
