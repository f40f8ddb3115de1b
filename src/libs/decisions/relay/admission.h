#pragma once

#include <core/time.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace Verbena::Decisions {

/// \brief What a router has learned of how long requests wait at engines, by those that it sent.
class WaitEstimate
{
public:
    /// \brief The first part of an answer came after \a span; \a waiting requests were before it when it was sent.
    void note(std::uint32_t waiting, std::chrono::microseconds span, Core::TimePoint now);

    /// \brief How long a request waits behind \a waiting others; nothing behind none.
    std::chrono::microseconds expected(std::uint32_t waiting, Core::TimePoint now) const;

    /// \brief How long a request may wait before it is begun and still be answered within \a target; without a target, as long as it wants.
    std::chrono::microseconds bearable(std::chrono::microseconds target) const;

private:
    double keptPart(Core::TimePoint now) const;
    std::chrono::microseconds perWaiting(Core::TimePoint now) const;

    std::chrono::microseconds m_unloaded{100'000};
    double m_excess = 0; ///< Microseconds over the unloaded span, of all samples, faded.
    double m_waiting = 0; ///< Requests that waited before them, faded.
    Core::TimePoint m_notedAt{};
};

/// \brief What is known when a request is to be sent or refused.
struct AdmissionQuery
{
    std::chrono::microseconds wait{0}; ///< That it is expected to, at the best backend server, before it is begun.
    std::chrono::microseconds bearableWait{0}; ///< That still lets the answer be in time.
    std::chrono::microseconds patience{0}; ///< Until the caller leaves.
};

/// \brief When a refused caller should come back; nothing if the request should be sent.
///
/// It answers a load that stays above what engines can read, for instance right after new weights when every prompt is cold: if all were let in, all
/// would wait for seconds and none would be in time. Turning away what cannot be in time keeps the queues as short as the target, so that what is let
/// in is. What cannot even begin before its caller leaves is turned away whatever its target.
std::optional<std::chrono::milliseconds> refuseUntil(const AdmissionQuery &query);

/// \brief When a caller that would have to wait for \a wait should come back, if it leaves after \a patience.
std::chrono::milliseconds comeBackWithin(std::chrono::milliseconds wait, std::chrono::microseconds patience);

} // namespace Verbena::Decisions
