#include "feedpoller.h"

#include <algorithm>

namespace Verbena::Decisions {

FeedPoller::FeedPoller(const FeedPollerOptions &options, std::uint64_t seed, Core::TimePoint now)
    : m_options(options)
    , m_random(seed)
    , m_randomFactor(m_random.exponential())
    , m_lastPollAt(now)
    , m_lastPeerMessageAt(now)
    , m_notBefore(now)
{
}

void FeedPoller::setProcessCount(std::size_t count)
{
    m_processCount = std::max<std::size_t>(count, 1);
}

void FeedPoller::recordPeerMessage(Core::TimePoint now)
{
    m_lastPeerMessageAt = std::max(m_lastPeerMessageAt, now);
}

void FeedPoller::markStarted(Core::TimePoint now)
{
    m_lastPollAt = now;
    m_notBefore = now + m_options.minimumInterval;
    m_randomFactor = m_random.exponential();
    m_requestedPollBy = Core::TimePoint::max();
}

void FeedPoller::handleFailure(Core::TimePoint now)
{
    // Jitter of up to half of the interval separates processes whose polls failed at the same time.
    const double factor = 1.0 + 0.5 * m_random.uniform();
    m_notBefore = now + std::chrono::duration_cast<Core::Clock::duration>(m_options.failureInterval * factor);
}

void FeedPoller::requestPollBy(Core::TimePoint latest)
{
    m_requestedPollBy = std::min(m_requestedPollBy, latest);
}

Core::TimePoint FeedPoller::nextPoll() const
{
    const std::chrono::duration<double> sharedMean(static_cast<double>(m_processCount) / m_options.pollsPerSecond);
    const Core::TimePoint shared = randomTime(sharedMean);
    const Core::TimePoint silent = std::max(randomTime(m_options.silentInterval), m_lastPeerMessageAt + m_options.silenceLimit);
    return std::max(std::min({shared, silent, m_requestedPollBy}), m_notBefore);
}

Core::TimePoint FeedPoller::randomTime(std::chrono::duration<double> mean) const
{
    return m_lastPollAt + std::chrono::duration_cast<Core::Clock::duration>(mean * m_randomFactor);
}

} // namespace Verbena::Decisions
