#pragma once

#include <core/time.h>

#include <chrono>

namespace Verbena::Decisions {

/// \brief What is known of the request of a caller that has ended its sending side.
struct HalfClosedRequest
{
    bool endsWithCaller = false; ///< Whether its work should end if the caller has left; not if it may run only once and a backend server has it.
    bool canProbe = false; ///< Whether something can be written to the caller that leaves its answer as it is.
};

/// \brief What to do about a caller that has ended its sending side.
enum class HalfClosedStep {
    Wait,
    Probe, ///< Write something that changes no answer: a host whose process has closed the connection resets it.
    GiveUp, ///< Take the caller for one that has left.
};

/// \brief Tells a caller that has left from one that has ended its sending side and waits for its answer; both send the same FIN (RFC 9112, 9.6).
class HalfClosedCaller
{
public:
    /// \brief Most probes that one caller gets; clients bound the number of interim answers that they accept.
    static constexpr int maximumProbes = 4;

    /// \brief Time for which a request goes on whose caller cannot be probed, if its work should end with its caller.
    static constexpr std::chrono::milliseconds unprobedTime{400};

    /// \brief The caller's FIN was read at \a now.
    explicit HalfClosedCaller(Core::TimePoint now);

    /// \brief Returns when the FIN was read.
    Core::TimePoint begunAt() const;

    /// \brief Records that a part of the answer was written at \a now, which the caller's host answers like a probe.
    void recordWrite(Core::TimePoint now);

    /// \brief Returns what to do at \a now, and records a probe that is returned.
    HalfClosedStep nextStep(const HalfClosedRequest &request, Core::TimePoint now);

    /// \brief Returns when to look whether the connection was reset, and to ask for the next step; \a now is the time of the last one.
    Core::TimePoint nextCheck(Core::TimePoint now) const;

private:
    Core::TimePoint m_begunAt; ///< When the FIN was read.
    Core::TimePoint m_lastWriteAt; ///< When something was last written; when the FIN was read, before.
    Core::TimePoint m_unprobedDeadline; ///< Until then a request goes on whose caller has been sent nothing.
    Core::TimePoint m_nextProbe;
    int m_probes = 0;
    bool m_hasWritten = false; ///< Whether a probe or a part of the answer was written.
};

} // namespace Verbena::Decisions
