#pragma once

#include <core/time.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace Verbena::Decisions {

/// \brief Lower limit of the time after which a refused caller should retry. Callers that retry sooner find the same load.
inline constexpr std::chrono::milliseconds minimumRetryDelay{150};

/// \brief Estimates how long requests wait at engines, from the requests that this router has sent.
class WaitEstimate
{
public:
    /// \brief Adds a sample: the first part of an answer came \a timeToFirstPart after the request was sent, when \a waiting requests were queued ahead of
    /// it.
    void addSample(std::uint32_t waiting, std::chrono::microseconds timeToFirstPart, Core::TimePoint now);

    /// \brief Returns how long a request is expected to wait behind \a waiting queued requests; 0 if none is queued.
    std::chrono::microseconds expectedWait(std::uint32_t waiting, Core::TimePoint now) const;

    /// \brief Returns how long a request may wait before the engine begins it and still be answered within \a target. Unlimited if \a target is 0.
    std::chrono::microseconds acceptableWait(std::chrono::microseconds target) const;

private:
    double decayFactor(Core::TimePoint now) const;
    std::chrono::microseconds waitPerRequest(Core::TimePoint now) const;

    std::chrono::microseconds m_unloadedTime{100'000};
    double m_waitSum = 0; ///< Time waited beyond m_unloadedTime, in microseconds; decaying sum over all samples.
    double m_queuedSum = 0; ///< Number of requests queued ahead; decaying sum over the same samples.
    Core::TimePoint m_sampledAt{};
};

/// \brief The input of the decision to admit or refuse a request.
struct AdmissionQuery
{
    std::chrono::microseconds expectedWait{0}; ///< Expected wait at the best backend server before the engine begins the request.
    std::chrono::microseconds acceptableWait{0}; ///< Longest wait with which the answer still meets its target.
    std::chrono::microseconds remainingTime{0}; ///< Time until the caller gives up.
};

/// \brief Returns the delay after which a refused caller should retry, or nothing if the request is to be admitted.
///
/// Limits the queues while the load stays above the prefill rate of the engines, for instance right after a change of weights, when no prompt is cached. If
/// all requests were admitted then, all would wait for seconds and none would meet its target. Refusing those that would miss their targets keeps the queues
/// short, so that the admitted ones meet theirs. A request that cannot begin before its caller gives up is refused whatever its target is.
std::optional<std::chrono::milliseconds> refusalRetryDelay(const AdmissionQuery &query);

/// \brief Returns the delay after which a caller should retry, for an expected wait of \a wait and \a remainingTime until it gives up.
std::chrono::milliseconds retryDelay(std::chrono::milliseconds wait, std::chrono::microseconds remainingTime);

} // namespace Verbena::Decisions
