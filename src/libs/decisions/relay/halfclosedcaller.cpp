#include "halfclosedcaller.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Many answers come sooner, and some simple clients do not understand an interim answer.
constexpr std::chrono::milliseconds firstProbeDelay{100};

// A caller that ends its sending side and closes the connection a moment later is found by the second probe, within the time for which work may go on.
constexpr std::chrono::milliseconds secondProbeDelay{250};

// A reset comes after a round trip.
constexpr std::chrono::milliseconds shortestCheckPause{10};
constexpr std::chrono::milliseconds longestCheckPause{250};

} // namespace

HalfClosedCaller::HalfClosedCaller(Core::TimePoint now)
    : m_begunAt(now)
    , m_lastWriteAt(now)
    , m_unprobedDeadline(now + unprobedTime)
    , m_nextProbe(now + firstProbeDelay)
{
}

Core::TimePoint HalfClosedCaller::begunAt() const
{
    return m_begunAt;
}

void HalfClosedCaller::recordWrite(Core::TimePoint now)
{
    m_hasWritten = true;
    m_lastWriteAt = now;
    // The pauses double, so that a request of minutes has few interim answers.
    m_nextProbe = now + secondProbeDelay * (1 << std::max(m_probes - 1, 0));
}

HalfClosedStep HalfClosedCaller::nextStep(const HalfClosedRequest &request, Core::TimePoint now)
{
    if (request.canProbe && m_probes < maximumProbes && now >= m_nextProbe) {
        ++m_probes;
        recordWrite(now);
        return HalfClosedStep::Probe;
    }
    const bool isUnknown = !m_hasWritten && now >= m_unprobedDeadline;
    return isUnknown && request.endsWithCaller ? HalfClosedStep::GiveUp : HalfClosedStep::Wait;
}

// A reset comes soon after what was written, or not at all, so that the checks become rarer and rarer.
Core::TimePoint HalfClosedCaller::nextCheck(Core::TimePoint now) const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastWriteAt);
    Core::TimePoint next = now + std::clamp(elapsed, shortestCheckPause, longestCheckPause);
    for (const Core::TimePoint due : {m_nextProbe, m_unprobedDeadline}) {
        next = due > now ? std::min(next, due) : next;
    }
    return next;
}

} // namespace Verbena::Decisions
