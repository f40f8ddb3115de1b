#include "relayshutdown.h"

#include "callerconnection.h"
#include "relayevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>
#include <observe/metrics.h>

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// Interval at which a relay that shuts down checks whether it is done.
constexpr milliseconds checkInterval{50};

} // namespace

RelayShutdown::RelayShutdown(EventLoop::Loop &loop, Observe::Metrics &metrics, Decisions::RunTimes &times, ShutdownOwner &owner)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_times(times)
    , m_owner(owner)
    , m_timer(loop, [this] { advance(); })
    , m_endNotice(loop, [this] { endNotice(); })
{
}

void RelayShutdown::begin(const Decisions::ShutdownPlan &plan, std::function<void()> done)
{
    if (m_plan.has_value()) {
        return;
    }
    m_plan = plan;
    m_done = std::move(done);
    Observe::log(drainBegun, {{"connections", std::to_string(m_owner.connectionCount())}});
    advance();
}

bool RelayShutdown::isBegun() const
{
    return m_plan.has_value();
}

bool RelayShutdown::isServingRequests() const
{
    return m_isServingRequests && !isNoticeOver();
}

bool RelayShutdown::isNoticeOver() const
{
    return m_plan.has_value() && m_loop.now() >= m_plan->noticeEnd();
}

// The timer waits while there is much to read, and a busy relay would take request after request that it has no time for.
void RelayShutdown::endNoticeIfDue()
{
    if (m_isListening && isNoticeOver()) {
        m_endNotice.schedule();
    }
}

void RelayShutdown::endNotice()
{
    tryCloseListener();
    closeIdleConnections();
}

Core::TimePoint RelayShutdown::latestStart() const
{
    return m_plan.has_value() ? m_plan->unsentEnd() : Core::TimePoint::max();
}

bool RelayShutdown::isExpectedToEnd(const Decisions::StoppingRequest &request) const
{
    return !m_plan.has_value() || m_plan->isExpectedToEnd(request, m_times, m_loop.now());
}

void RelayShutdown::recordRefusal()
{
    ++m_refusedCount;
    m_metrics.count("requests_refused_for_shutdown_total");
}

void RelayShutdown::advance()
{
    const Core::TimePoint now = m_loop.now();
    updateRunning(m_owner.connectionSnapshot());
    if (now >= m_plan->noticeEnd()) {
        endNotice();
    }
    endLateRequests();
    if (now >= m_plan->unsentEnd()) {
        refuseUnread();
    }
    if (isOver(now)) {
        reportEnd(now);
        m_done();
        return;
    }
    if (now >= m_plan->giveUpTime() && !m_isGivenUp) {
        giveUpRequests();
    }
    m_timer.startAt(m_plan->nextStep(now, now + checkInterval));
}

void RelayShutdown::updateRunning(const std::vector<CallerConnection *> &connections)
{
    std::vector<Decisions::RunningCall> running;
    for (const CallerConnection *connection : connections) {
        const RelayedRequest *request = connection->request();
        if (std::optional<Decisions::RunningCall> call = request == nullptr ? std::nullopt : request->runningCall()) {
            running.push_back(std::move(*call));
        }
    }
    m_times.setRunning(running);
}

void RelayShutdown::closeIdleConnections()
{
    const std::vector<CallerConnection *> open = m_owner.connectionSnapshot();
    const auto closed = std::count_if(open.begin(), open.end(), [](CallerConnection *connection) { return connection->endIfIdle(); });
    m_metrics.count("idle_connections_closed_for_shutdown_total", static_cast<std::uint64_t>(closed));
}

// Closes the listener so that new callers go to another router at once; their requests might not end in time here. Those whose connections wait in its queue
// count them as accepted, and get an answer.
void RelayShutdown::tryCloseListener()
{
    if (!m_isListening) {
        return;
    }
    if (m_isServingRequests) {
        m_isServingRequests = false;
        m_acceptedAtNoticeEnd = m_owner.acceptedCount();
    }
    if (!m_owner.acceptWaiting() && m_loop.now() < m_plan->unsentEnd()) {
        // The next check tries again.
        return;
    }
    m_isListening = false;
    m_owner.closeListener();
    reportListenerClosed();
}

void RelayShutdown::reportListenerClosed()
{
    const auto late = duration_cast<milliseconds>(m_loop.now() - m_plan->noticeEnd());
    Observe::log(callersListenerClosed,
        {{"connections", std::to_string(m_owner.connectionCount())},
            {"queued", std::to_string(m_owner.acceptedCount() - m_acceptedAtNoticeEnd)},
            {"late_ms", std::to_string(late.count())}});
}

void RelayShutdown::refuseUnread()
{
    for (CallerConnection *connection : m_owner.connectionSnapshot()) {
        connection->refuseUnread();
    }
}

// Requests that wait to be sent, for the first time or again, while the time that is left becomes too short for them.
void RelayShutdown::endLateRequests()
{
    for (const CallerConnection *connection : m_owner.connectionSnapshot()) {
        if (RelayedRequest *request = connection->request()) {
            request->endIfTooLate();
        }
    }
}

void RelayShutdown::giveUpRequests()
{
    m_isGivenUp = true;
    const Core::TimePoint now = m_loop.now();
    for (CallerConnection *connection : m_owner.connectionSnapshot()) {
        recordCut(*connection, now);
        connection->giveUp();
    }
    m_metrics.count("requests_cut_by_shutdown_total", m_cutCount);
}

void RelayShutdown::recordCut(const CallerConnection &connection, Core::TimePoint now)
{
    const RelayedRequest *request = connection.request();
    const std::optional<Decisions::RunningCall> call = request == nullptr ? std::nullopt : request->runningCall();
    if (call.has_value()) {
        ++m_cutCount;
        m_longestCut = std::max(m_longestCut, duration_cast<milliseconds>(now - call->sentAt));
    }
}

// What was given up is written and read until the end.
bool RelayShutdown::isOver(Core::TimePoint now) const
{
    return (!m_isListening && m_owner.connectionCount() == 0) || (m_isGivenUp && now >= m_plan->end());
}

void RelayShutdown::reportEnd(Core::TimePoint now)
{
    Observe::log(drainEnded,
        {{"connections", std::to_string(m_owner.connectionCount())},
            {"left_ms", std::to_string(duration_cast<milliseconds>(m_plan->giveUpTime() - now).count())},
            {"refused", std::to_string(m_refusedCount)},
            {"cut", std::to_string(m_cutCount)},
            {"cut_sent_ms", std::to_string(m_longestCut.count())}});
}

} // namespace Verbena::Relay
