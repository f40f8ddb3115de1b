#include "backoff.h"

#include <algorithm>

namespace Verbena::Decisions {

Backoff::Backoff(const BackoffOptions &options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

void Backoff::recordSuccess()
{
    m_failures = 0;
    m_notBefore = {};
}

void Backoff::recordFailure(Core::TimePoint now)
{
    std::chrono::milliseconds bound = m_options.initialDelay;
    for (std::uint32_t i = 0; i < m_failures && bound < m_options.maximumDelay; ++i) {
        bound *= 2;
    }
    ++m_failures;
    // Full jitter spreads the retries of callers that failed together over the whole interval.
    const std::chrono::duration<double, std::milli> delay = std::min(bound, m_options.maximumDelay) * m_random.uniform();
    m_notBefore = now + std::chrono::duration_cast<Core::Clock::duration>(delay);
}

Core::TimePoint Backoff::notBefore() const
{
    return m_notBefore;
}

Core::TimePoint firstStoreReadTime(Core::TimePoint start, std::size_t processCount, std::uint32_t readsPerStart, double readsPerSecond, std::uint64_t seed)
{
    const std::chrono::duration<double> window(static_cast<double>(processCount) * readsPerStart / readsPerSecond);
    return start + std::chrono::duration_cast<Core::Clock::duration>(window * RandomSource(seed).uniform());
}

} // namespace Verbena::Decisions
