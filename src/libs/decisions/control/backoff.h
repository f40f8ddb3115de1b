#pragma once

#include "../spread/randomsource.h"

#include <core/time.h>

#include <cstdint>

namespace Verbena::Decisions {

/// \brief How long a caller stays away after failures.
struct BackoffOptions
{
    std::chrono::milliseconds initialDelay{100}; ///< Upper bound after one failure; doubles with each further one.
    std::chrono::milliseconds maximumDelay{10'000};
};

/// \brief Keeps a caller away from a service that fails, by exponential backoff with full jitter.
class Backoff
{
public:
    Backoff(const BackoffOptions &options, std::uint64_t seed);

    void recordSuccess();
    void recordFailure(Core::TimePoint now);

    /// \brief Before this moment nothing should be sent.
    Core::TimePoint notBefore() const;

private:
    BackoffOptions m_options;
    RandomSource m_random;
    std::uint32_t m_failures = 0;
    Core::TimePoint m_notBefore;
};

/// \brief When a starting process first reads the store, if \a processCount may start at once.
///
/// The moment is drawn so that together they stay below \a readsPerSecond, each reading \a readsPerStart times.
Core::TimePoint firstStoreReadTime(Core::TimePoint start, std::size_t processCount, std::uint32_t readsPerStart, double readsPerSecond, std::uint64_t seed);

} // namespace Verbena::Decisions
