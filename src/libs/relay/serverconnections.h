#pragma once

#include "backendcall.h"

#include <decisions/relay/keptconnections.h>
#include <decisions/relay/serverregister.h>
#include <eventloop/timer.h>
#include <http/tcpchannel.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Verbena::Observe {
class Metrics;
}

namespace Verbena::Relay {

/// \brief Why an idle connection was closed.
enum class DropReason {
    Expired, ///< The server may be about to close it.
    Excess, ///< Too many others are kept.
    ServerClosed, ///< The server closed it.
    StrayBytes, ///< The server sent bytes that belong to no request.
    ServerChanged, ///< The server leaves, has restarted or is no longer registered.
    CallFailed, ///< Another call to the server failed, or the server refused it.
};

/// \brief Owns the idle connections to backend servers and hands them to calls as Decisions::KeptConnections decides.
class ServerConnections
{
public:
    /// \brief \a servers and \a metrics must outlive this object.
    ServerConnections(
        EventLoop::Loop &loop, const Decisions::ServerRegister &servers, Observe::Metrics &metrics, const Decisions::KeptConnectionLimits &limits = {});
    ~ServerConnections();

    ServerConnections(const ServerConnections &) = delete;
    ServerConnections &operator=(const ServerConnections &) = delete;

    /// \brief Sends \a request to \a server on a kept connection; returns null if there is none that the call may use and that works.
    ///
    /// If this returns null, the server has received nothing of the request.
    std::unique_ptr<BackendCall> reuse(
        const Decisions::ServerInstance &server, const Decisions::KeptConnectionUse &use, const Http::OutgoingMessage &request, CallObserver &observer);

    /// \brief Keeps the connection of \a call to \a server, whose whole answer has arrived, if it may serve another call. Ends the use of \a call.
    void keep(const Decisions::ServerInstance &server, BackendCall &call);

    /// \brief Closes the idle connections to \a address.
    void drop(const std::string &address, DropReason reason);

    /// \brief Returns whether an idle connection to \a address may be used at \a now.
    bool hasIdle(const std::string &address, Core::TimePoint now) const;

    /// \brief Returns the number of idle connections, each of which uses one descriptor.
    std::size_t count() const;

private:
    class IdleConnection;

    void handleStrayBytes(const std::string &address, std::size_t count);
    void handleClosed(Decisions::KeptConnections::Number number);
    void close(const std::vector<Decisions::KeptConnections::Number> &numbers, DropReason reason);
    void countDropped(DropReason reason, std::size_t count);
    void dropChanged();
    void dropExpired();
    void startTimer();

    EventLoop::Loop &m_loop;
    const Decisions::ServerRegister &m_servers;
    Observe::Metrics &m_metrics;
    Decisions::KeptConnections m_kept;
    std::unordered_map<Decisions::KeptConnections::Number, std::unique_ptr<IdleConnection>> m_idle;
    EventLoop::Timer m_timer; ///< Runs until the earliest deadline.
    std::uint64_t m_seenRevision = 0; ///< Revision of the register at the last look.
};

} // namespace Verbena::Relay
