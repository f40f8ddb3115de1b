#pragma once

#include <decisions/relay/shutdownplan.h>
#include <eventloop/deferredcall.h>
#include <eventloop/timer.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Verbena::Observe {
class Metrics;
}

namespace Verbena::Relay {

class CallerConnection;

/// \brief Interface of the task whose callers a shutdown handles.
class ShutdownOwner
{
public:
    virtual ~ShutdownOwner() = default;

    /// \brief Returns a copy of the open connections, as ending one removes it.
    virtual std::vector<CallerConnection *> connectionSnapshot() const = 0;

    /// \brief Returns the number of open connections.
    virtual std::size_t connectionCount() const = 0;

    /// \brief Returns the number of connections that were accepted since the start.
    virtual std::uint64_t acceptedCount() const = 0;

    /// \brief Accepts the connections that wait. Returns whether none is left.
    virtual bool acceptWaiting() = 0;

    /// \brief Accepts no connections any more.
    virtual void closeListener() = 0;
};

/// \brief The shutdown of a relay: serves new requests that can be expected to end in time, and ends within the grace period.
class RelayShutdown
{
public:
    /// \brief \a times is what is known of how long calls take; it is told of the running ones during a shutdown.
    RelayShutdown(EventLoop::Loop &loop, Observe::Metrics &metrics, Decisions::RunTimes &times, ShutdownOwner &owner);

    RelayShutdown(const RelayShutdown &) = delete;
    RelayShutdown &operator=(const RelayShutdown &) = delete;

    /// \brief Begins the shutdown of \a plan; calls \a done when no caller is left or the plan's end has come. Does nothing if it has begun.
    void begin(const Decisions::ShutdownPlan &plan, std::function<void()> done);

    /// \brief Returns whether the shutdown has begun.
    bool isBegun() const;

    /// \brief Returns whether new requests are served; false from the end of the notice on.
    bool isServingRequests() const;

    /// \brief Returns the latest time at which a request may begin to be sent; Core::TimePoint::max() before the shutdown.
    Core::TimePoint latestStart() const;

    /// \brief Returns whether \a request can be expected to end in time if it is sent now; true before the shutdown.
    bool isExpectedToEnd(const Decisions::StoppingRequest &request) const;

    /// \brief Ends the notice in this iteration of the loop if its time has come; to be called when anything of a caller comes.
    void endNoticeIfDue();

    /// \brief Records that a request was refused, not sent again or no longer kept waiting since it could not be expected to end in time.
    void recordRefusal();

private:
    void advance();
    bool isNoticeOver() const;
    void endNotice();
    void updateRunning(const std::vector<CallerConnection *> &connections);
    void closeIdleConnections();
    void tryCloseListener();
    void reportListenerClosed();
    void refuseUnread();
    void endLateRequests();
    void giveUpRequests();
    void recordCut(const CallerConnection &connection, Core::TimePoint now);
    bool isOver(Core::TimePoint now) const;
    void reportEnd(Core::TimePoint now);

    EventLoop::Loop &m_loop;
    Observe::Metrics &m_metrics;
    Decisions::RunTimes &m_times;
    ShutdownOwner &m_owner;
    EventLoop::Timer m_timer;
    EventLoop::DeferredCall m_endNotice;
    std::optional<Decisions::ShutdownPlan> m_plan; ///< Nothing before the shutdown.
    std::function<void()> m_done;
    std::uint64_t m_acceptedAtNoticeEnd = 0; ///< Number of connections that had been accepted when the notice ended.
    std::uint64_t m_refusedCount = 0; ///< Requests of recordRefusal().
    std::uint64_t m_cutCount = 0; ///< Requests that were at a backend server when they were given up.
    std::chrono::milliseconds m_longestCut{0}; ///< Longest time for which one of them had been there.
    bool m_isServingRequests = true;
    bool m_isListening = true;
    bool m_isGivenUp = false; ///< Whether the requests that were left have been given up.
};

} // namespace Verbena::Relay
