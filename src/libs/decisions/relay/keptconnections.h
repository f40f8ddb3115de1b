#pragma once

#include <core/time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief One start of a backend server, to which a connection leads.
struct ServerInstance
{
    std::string id;
    std::string address; ///< IP number and port.
    std::uint64_t incarnation = 0; ///< Identifies one start of the server; 0 if it does not report one.

    bool operator==(const ServerInstance &) const = default;
};

/// \brief What decides whether a call may use a kept connection.
struct KeptConnectionUse
{
    bool isRepeatable = false; ///< Whether the request may run a second time.
    bool isBegun = false; ///< Whether the caller has received a part of an answer.
    bool hasId = false; ///< Whether the request has an id, which its answer must name.
    bool isHead = false; ///< Whether the method is HEAD, whose answers some servers give a body.
    bool isSuspected = false; ///< Whether backend servers ended under the request.
};

/// \brief Returns whether the call may use a kept connection, and its own connection may be kept after it.
bool mayKeepConnection(const KeptConnectionUse &use);

/// \brief Maximum numbers of idle connections that one router keeps.
struct KeptConnectionLimits
{
    /// Servers limit the connections of all routers together, some to fewer than ten for each router.
    std::size_t perServer = 2;
    std::size_t total = 128;
};

/// \brief Decides which idle connection to a backend server may serve which call, and how long each is kept.
///
/// A connection is idle between keep() and the call that takes it, or until it is given up. The owner of the connections closes what the functions return.
class KeptConnections
{
public:
    /// \brief Number of an idle connection; a later one has a larger number.
    using Number = std::uint64_t;

    explicit KeptConnections(const KeptConnectionLimits &limits);

    /// \brief Returns until when the connection of a server that ended its answer at \a answeredAt may be used again.
    ///
    /// \a idleTimeout: the time after which the server says that it closes an idle connection, if it says so.
    static Core::TimePoint usableUntil(std::optional<std::chrono::seconds> idleTimeout, Core::TimePoint answeredAt);

    /// \brief Keeps an idle connection to \a server for calls before \a deadline; returns its number.
    Number keep(const ServerInstance &server, Core::TimePoint deadline);

    /// \brief Gives up the least recently used connections to \a address beyond the limit for one server, then those beyond the total limit, and returns them.
    std::vector<Number> removeExcess(const std::string &address);

    /// \brief Takes an idle connection to \a server for a call; returns nothing if there is none that the call may use.
    std::optional<Number> take(const ServerInstance &server, const KeptConnectionUse &use, Core::TimePoint now);

    /// \brief Handles that the connection \a number has ended.
    void remove(Number number);

    /// \brief Gives up the connections whose deadline has passed, and returns them.
    std::vector<Number> removeExpired(Core::TimePoint now);

    /// \brief Gives up the connections to \a address, and returns them.
    std::vector<Number> removeAddress(const std::string &address);

    /// \brief Gives up the connections to servers for which \a isServing returns false, and returns them.
    std::vector<Number> removeUnless(const std::function<bool(const ServerInstance &)> &isServing);

    /// \brief Returns the earliest deadline of a connection; nothing if none is kept.
    std::optional<Core::TimePoint> nextDeadline() const;

    /// \brief Returns whether a connection to \a address is kept that a call at \a now may use.
    bool hasIdle(const std::string &address, Core::TimePoint now) const;

    /// \brief Returns the number of idle connections.
    std::size_t count() const;

private:
    struct Connection
    {
        ServerInstance server;
        Core::TimePoint deadline;
    };

    std::vector<Number> removeWhere(const std::function<bool(const Connection &)> &isGivenUp);

    KeptConnectionLimits m_limits;
    Number m_lastNumber = 0;
    std::map<Number, Connection> m_connections; ///< The least recently used first.
    std::unordered_map<std::string, std::vector<Number>> m_numbers; ///< By address, the least recently used first.
};

} // namespace Verbena::Decisions
