#pragma once

#include "../spread/randomsource.h"

#include <core/time.h>

#include <cstdint>

namespace Verbena::Decisions {

/// \brief Delays between the attempts of a caller whose calls fail.
struct BackoffOptions
{
    std::chrono::milliseconds initialDelay{100}; ///< Maximum delay after the first failure; doubles with each further failure.
    std::chrono::milliseconds maximumDelay{10'000}; ///< Limit of the doubling.
};

/// \brief Delays the calls to a failing service by exponential backoff with full jitter.
class Backoff
{
public:
    Backoff(const BackoffOptions &options, std::uint64_t seed);

    /// \brief Resets the delay.
    void recordSuccess();
    /// \brief Chooses a random delay after a failure at \a now and doubles the bound for the next one.
    void recordFailure(Core::TimePoint now);

    /// \brief Returns the time before which nothing should be sent.
    Core::TimePoint notBefore() const;

private:
    BackoffOptions m_options;
    RandomSource m_random;
    std::uint32_t m_failures = 0;
    Core::TimePoint m_notBefore;
};

/// \brief Returns the time at which a process that starts at \a start first reads the store, if \a processCount processes may start at once.
///
/// The time is random, so that all processes together stay below \a readsPerSecond when each reads \a readsPerStart times.
Core::TimePoint firstStoreReadTime(Core::TimePoint start, std::size_t processCount, std::uint32_t readsPerStart, double readsPerSecond, std::uint64_t seed);

} // namespace Verbena::Decisions
