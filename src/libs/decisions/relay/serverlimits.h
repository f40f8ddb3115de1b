#pragma once

#include "limitshare.h"

#include <core/time.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief What an answer of a backend server said of its limit, as one router tells it to the others.
struct ServerLimitNews
{
    std::string serverId;
    std::uint64_t incarnation = 0; ///< Incarnation of the backend server; 0 if it does not report one.
    std::optional<double> perSecond; ///< Requests per second from all routers together; nothing if the server no longer names a limit.
    std::chrono::milliseconds age{0}; ///< Time since the answer.
};

/// \brief The limits that backend servers name in their answers, and this router's share of each.
///
/// A limit holds for all routers together, which share no counter. For each limited server they are ranked by rendezvous hashing, and the first ones share
/// the limit. It ends with an answer that names none.
class ServerLimits
{
public:
    /// \brief Sets the observer, which is called when an answer to this router has shown something that other routers should be told without delay.
    void setObserver(std::function<void()> observer);

    /// \brief Sets the number of routers that are assumed until setRouters() is called.
    void setAssumedRouters(std::uint32_t count);

    /// \brief Sets the address of this router and those of all known routers.
    void setRouters(const std::string &self, const std::vector<std::string> &addresses);

    /// \brief Handles an answer of the server to a request that was sent at \a sentAt. Returns whether the limit changed and should be logged.
    bool handleAnswer(
        const std::string &serverId, std::uint64_t incarnation, const std::optional<double> &perSecond, Core::TimePoint sentAt, Core::TimePoint now);

    /// \brief Handles \a news of another router. Returns whether the limit changed and should be logged.
    bool handleNews(const ServerLimitNews &news, Core::TimePoint now);

    /// \brief Returns the limit of the server, or nothing if it has none.
    std::optional<double> limit(const std::string &serverId) const;

    /// \brief Returns the servers to which this router may send no request now.
    std::vector<std::string> exhausted(Core::TimePoint now);

    /// \brief Returns when this router may send a request to the server; nothing if no time is known.
    std::optional<Core::TimePoint> nextSend(const std::string &serverId, Core::TimePoint now);

    /// \brief Records that a request was sent to the server.
    void recordSent(const std::string &serverId, Core::TimePoint now);

    /// \brief Returns what other routers should be told now: limits and ends of limits that answers to this router showed lately.
    std::vector<ServerLimitNews> newsToTell(Core::TimePoint now);

    /// \brief Returns the number of servers that named a limit lately.
    std::size_t limitedCount(Core::TimePoint now);

    /// \brief Removes the limit of the server if an earlier incarnation named it.
    void updateIncarnation(const std::string &serverId, std::uint64_t incarnation);

private:
    struct Entry
    {
        std::uint64_t incarnation = 0;
        std::optional<double> perSecond; ///< Nothing for some time after the end of a limit.
        Core::TimePoint observedAt; ///< Time of the latest answer.
        LimitShare share;
        Core::TimePoint toldUntil{}; ///< Time until which other routers are told.
        std::optional<double> toldPerSecond = std::nullopt; ///< What they were told last.
        Core::TimePoint nextReport{}; ///< Time from which on another number is logged again.
    };

    enum class Change {
        None,
        Number,
        BeginOrEnd,
    };

    Entry *find(const std::string &serverId);
    static bool isOtherIncarnation(const Entry &entry, std::uint64_t incarnation);
    Change update(const ServerLimitNews &news, Core::TimePoint observedAt, Core::TimePoint now);
    bool takeReport(const std::string &serverId, Change change, Core::TimePoint now);
    void evictExpired(Core::TimePoint now);
    void updateRank(const std::string &serverId, Entry &entry) const;

    std::function<void()> m_observer;
    std::uint32_t m_assumedRouters = 1;
    std::string m_self;
    std::vector<std::string> m_routers; ///< Addresses of all known routers, with this one.
    std::map<std::string, Entry> m_entries; ///< By id of the server.
};

} // namespace Verbena::Decisions
