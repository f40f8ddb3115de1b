#pragma once

#include "callerclose.h"

#include <decisions/relay/halfclosedcaller.h>
#include <eventloop/timer.h>

#include <optional>

namespace Verbena::EventLoop {
class Loop;
}

namespace Verbena::Relay {

/// \brief Interface of the connection that a HalfCloseWatch watches.
class HalfClosedConnection
{
public:
    virtual ~HalfClosedConnection() = default;

    /// \brief Returns what is known of the request that waits for its answer; nothing if none does.
    virtual std::optional<Decisions::HalfClosedRequest> waitingRequest() const = 0;

    /// \brief Returns whether the caller's host has reset the connection.
    virtual bool isReset() const = 0;

    /// \brief Writes something that changes no answer.
    virtual void writeProbe() = 0;

    /// \brief Closes the connection, whose caller has left; may destroy it.
    virtual void closeForLeftCaller(CloseReason reason) = 0;
};

/// \brief Finds out whether a caller that has ended its sending side still waits for its answer.
///
/// The event loop reports no reset of a connection whose incoming data has ended, so that it is looked at again and again.
class HalfCloseWatch
{
public:
    HalfCloseWatch(EventLoop::Loop &loop, HalfClosedConnection &connection);

    HalfCloseWatch(const HalfCloseWatch &) = delete;
    HalfCloseWatch &operator=(const HalfCloseWatch &) = delete;

    /// \brief The caller's FIN was read; the first look at it follows in this iteration of the loop.
    void begin();

    /// \brief Returns whether the caller has ended its sending side.
    bool isBegun() const;

    /// \brief Returns when the caller ended its sending side; nothing if it has not.
    std::optional<Core::TimePoint> begunAt() const;

    /// \brief Records that a part of the answer was written.
    void recordWrite();

private:
    void check();

    EventLoop::Loop &m_loop;
    HalfClosedConnection &m_connection;
    EventLoop::Timer m_timer;
    std::optional<Decisions::HalfClosedCaller> m_caller; ///< Nothing before the caller's FIN.
};

} // namespace Verbena::Relay
