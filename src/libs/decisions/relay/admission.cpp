#include "admission.h"

#include <algorithm>
#include <cmath>

namespace Verbena::Decisions {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Divisor of the exponential smoothing of samples from engines without a queue. The average covers about a second of requests at a busy router.
constexpr int smoothingDivisor = 8;

// Upper limit for the wait that one queued request accounts for. A longer wait is caused by a stalled engine, not by the length of its queue.
constexpr microseconds maximumWaitPerRequest{120'000};

// Time constant of the exponential decay of samples. A router that refuses all requests gets no new samples, so old ones have to lose their weight.
constexpr milliseconds decayTime{1000};

// Initial estimate and its weight in requests, equal to a second's queue of a few requests at a busy engine.
constexpr microseconds initialWaitPerRequest{25'000};
constexpr double initialWeight = 20;

// Part of the target that queueing and prefill may use; the rest is for transmission and unforeseen delays. A limit on the queueing time alone would refuse
// short prompts that meet their target and admit long ones that miss it.
constexpr double targetFraction = 0.9;

// Part of the target that a request may always wait, also if its prefill takes most of the target. Otherwise one slow second would cause all such prompts to
// be refused.
constexpr double minimumWaitFraction = 0.25;

// With a longer retry delay callers would have given up.
constexpr milliseconds maximumRetryDelay{1500};

// Callers are told to retry after at most a third of their remaining time.
constexpr int remainingTimeDivisor = 3;

microseconds smoothed(microseconds before, microseconds sample)
{
    return before + (sample - before) / smoothingDivisor;
}

} // namespace

void WaitEstimate::addSample(std::uint32_t waiting, microseconds timeToFirstPart, Core::TimePoint now)
{
    if (waiting == 0) {
        m_unloadedTime = smoothed(m_unloadedTime, timeToFirstPart);
        return;
    }
    const double decay = decayFactor(now);
    const microseconds excess = std::clamp(timeToFirstPart - m_unloadedTime, microseconds(0), waiting * maximumWaitPerRequest);
    m_waitSum = decay * m_waitSum + static_cast<double>(excess.count());
    m_queuedSum = decay * m_queuedSum + waiting;
    m_sampledAt = now;
}

double WaitEstimate::decayFactor(Core::TimePoint now) const
{
    return std::exp(-std::chrono::duration<double>(now - m_sampledAt) / std::chrono::duration<double>(decayTime));
}

// Divides the sum of all waits by the sum of all queue lengths. The mean of the quotients of single samples would be dominated by the few requests that stall
// behind a short queue and would be several times the usual wait.
microseconds WaitEstimate::waitPerRequest(Core::TimePoint now) const
{
    const double decay = decayFactor(now);
    const double excess = decay * m_waitSum + initialWeight * static_cast<double>(initialWaitPerRequest.count());
    return microseconds(static_cast<std::int64_t>(excess / (decay * m_queuedSum + initialWeight)));
}

microseconds WaitEstimate::expectedWait(std::uint32_t waiting, Core::TimePoint now) const
{
    return waiting * waitPerRequest(now);
}

microseconds WaitEstimate::acceptableWait(microseconds target) const
{
    if (target.count() == 0) {
        return microseconds::max();
    }
    return std::max(duration_cast<microseconds>(minimumWaitFraction * target), duration_cast<microseconds>(targetFraction * target) - m_unloadedTime);
}

std::optional<milliseconds> refusalRetryDelay(const AdmissionQuery &query)
{
    if (query.expectedWait <= std::min(query.acceptableWait, query.remainingTime)) {
        return std::nullopt;
    }
    return retryDelay(duration_cast<milliseconds>(query.expectedWait), query.remainingTime);
}

milliseconds retryDelay(milliseconds wait, microseconds remainingTime)
{
    const auto maximum = std::min(maximumRetryDelay, duration_cast<milliseconds>(remainingTime / remainingTimeDivisor));
    return std::max(minimumRetryDelay, std::min(wait, maximum));
}

} // namespace Verbena::Decisions
