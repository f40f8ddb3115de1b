#include "feedpoller.h"

#include <algorithm>

namespace Verbena::Decisions {

FeedPoller::FeedPoller(const FeedPollerOptions &options, std::uint64_t seed, Core::TimePoint now)
    : m_options(options)
    , m_random(seed)
    , m_draw(m_random.exponential())
    , m_since(now)
    , m_heardAt(now)
    , m_notBefore(now)
{
}

void FeedPoller::setProcessCount(std::size_t count)
{
    m_processCount = std::max<std::size_t>(count, 1);
}

void FeedPoller::noteHeard(Core::TimePoint now)
{
    m_heardAt = std::max(m_heardAt, now);
}

void FeedPoller::noteStarted(Core::TimePoint now)
{
    m_since = now;
    m_notBefore = now + m_options.minimumInterval;
    m_draw = m_random.exponential();
    m_requestedBy = Core::TimePoint::max();
}

void FeedPoller::noteFailed(Core::TimePoint now)
{
    // Jitter of one half keeps processes apart that failed together.
    const double factor = 1.0 + 0.5 * m_random.uniform();
    m_notBefore = now + std::chrono::duration_cast<Core::Clock::duration>(m_options.failureInterval * factor);
}

void FeedPoller::requestBy(Core::TimePoint moment)
{
    m_requestedBy = std::min(m_requestedBy, moment);
}

Core::TimePoint FeedPoller::nextPoll() const
{
    const std::chrono::duration<double> sharedMean(static_cast<double>(m_processCount) / m_options.pollsPerSecond);
    const Core::TimePoint shared = drawnMoment(sharedMean);
    const Core::TimePoint silent = std::max(drawnMoment(m_options.silentInterval), m_heardAt + m_options.silenceLimit);
    return std::max(std::min({shared, silent, m_requestedBy}), m_notBefore);
}

Core::TimePoint FeedPoller::drawnMoment(std::chrono::duration<double> mean) const
{
    return m_since + std::chrono::duration_cast<Core::Clock::duration>(mean * m_draw);
}

} // namespace Verbena::Decisions
