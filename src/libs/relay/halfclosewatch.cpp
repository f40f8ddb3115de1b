#include "halfclosewatch.h"

#include <eventloop/loop.h>

namespace Verbena::Relay {

HalfCloseWatch::HalfCloseWatch(EventLoop::Loop &loop, HalfClosedConnection &connection)
    : m_loop(loop)
    , m_connection(connection)
    , m_timer(loop, [this] { check(); })
{
}

void HalfCloseWatch::begin()
{
    m_caller.emplace(m_loop.now());
    m_timer.startAt(m_loop.now());
}

bool HalfCloseWatch::isBegun() const
{
    return m_caller.has_value();
}

std::optional<Core::TimePoint> HalfCloseWatch::begunAt() const
{
    return m_caller.has_value() ? std::optional(m_caller->begunAt()) : std::nullopt;
}

void HalfCloseWatch::recordWrite()
{
    if (m_caller.has_value()) {
        m_caller->recordWrite(m_loop.now());
    }
}

void HalfCloseWatch::check()
{
    const std::optional<Decisions::HalfClosedRequest> request = m_connection.waitingRequest();
    if (!request.has_value()) {
        return;
    }
    if (m_connection.isReset()) {
        m_connection.closeForLeftCaller(CloseReason::CallerReset);
        return;
    }
    const Core::TimePoint now = m_loop.now();
    const Decisions::HalfClosedStep step = m_caller->nextStep(*request, now);
    if (step == Decisions::HalfClosedStep::GiveUp) {
        m_connection.closeForLeftCaller(CloseReason::CallerUnknown);
        return;
    }
    if (step == Decisions::HalfClosedStep::Probe) {
        m_connection.writeProbe();
    }
    m_timer.startAt(m_caller->nextCheck(now));
}

} // namespace Verbena::Relay
