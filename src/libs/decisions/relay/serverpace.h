#pragma once

#include <core/time.h>
#include <decisions/routing/backendserver.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief How long work takes at the backend servers of a service relative to each other, as one router sees it.
///
/// Two things are combined: what a server's answers cost on average, compared with the median of its service, and the pace that it names. The last pace it
/// named counts for some hundred milliseconds, and the mean of those before it for seconds. Where nothing is heard, all decay to the average.
class ServerPace
{
public:
    /// \brief Adds the backend server \a id of \a service, or discards what is known of it if its service or \a incarnation has changed.
    void updateServer(BackendServerId id, const std::string &service, std::uint64_t incarnation);

    /// \brief Removes the backend servers for which \a isGone returns true.
    void removeIf(const std::function<bool(BackendServerId)> &isGone);

    /// \brief Records that \a id named \a pace, which must be positive: the time that work takes there now, relative to what it usually takes there.
    void recordPace(BackendServerId id, double pace, Core::TimePoint now);

    /// \brief Records that \a id took \a elapsed for work that was estimated at \a expected and did not have to wait there.
    void recordWork(BackendServerId id, std::chrono::microseconds elapsed, std::chrono::microseconds expected, Core::TimePoint now);

    /// \brief Returns whether any backend server of \a service has named a pace.
    bool namesPace(const std::string &service) const;

    /// \brief Returns the time that work takes at \a id relative to the service's average, from 0.25 to 4; 1 for all servers of a service that never named a
    /// pace.
    double slowness(BackendServerId id, Core::TimePoint now) const;

    /// \brief Returns slowness() without short slowdowns and recoveries: what work of several seconds that begins now will take at \a id.
    double lastingSlowness(BackendServerId id, Core::TimePoint now) const;

    /// \brief Returns whether so little was heard of \a id lately that a request should find out how fast it is.
    bool isDueForMeasurement(BackendServerId id, Core::TimePoint now) const;

private:
    static constexpr std::size_t outlierWindow = 3; ///< Samples of which the median counts, so that a single outlier does not.
    static constexpr std::size_t serviceWindow = 64; ///< Latest samples of a service from which its median is computed.

    struct Server
    {
        std::string service;
        std::uint64_t incarnation = 0; ///< 0 if unknown.
        std::array<double, outlierWindow> latestCosts{};
        std::size_t sampleCount = 0;
        double cost = 0; ///< Smoothed time per expected time at the usual pace.
        Core::TimePoint sampledAt{};
        double pace = 1;
        double meanPace = 1; ///< Smoothed over seconds.
        Core::TimePoint pacedAt{}; ///< Time at which pace was named.
        Core::TimePoint heardAt{}; ///< Time at which it last answered or named a pace.
    };

    struct Service
    {
        bool isNamed = false; ///< Whether any server has named a pace.
        double meanPace = 1; ///< Of all servers, over the latest paces that they named.
        std::size_t paceCount = 0; ///< Number of paces in that mean.
        std::vector<double> latestCosts; ///< Of all servers; the oldest is replaced.
        std::size_t next = 0; ///< Index of the oldest.
        double median = 0; ///< Of latestCosts; 0 before any.
    };

    using PaceFunction = double (*)(const Server &server, const Service &service, Core::TimePoint now);

    static void smoothPace(Server &server, Core::TimePoint now);
    static void addPace(Service &service, double pace);
    static double lastingPace(const Server &server, const Service &service, Core::TimePoint now);
    static double currentPace(const Server &server, const Service &service, Core::TimePoint now);
    double scaledSlowness(BackendServerId id, PaceFunction paceOf, Core::TimePoint now) const;
    static double robustCost(const Server &server);
    static void smoothCost(Server &server, Core::TimePoint now);
    static void addCost(Service &service, double cost);
    static double learnedSlowness(const Server &server, const Service &service, Core::TimePoint now);

    std::unordered_map<BackendServerId, Server> m_servers;
    std::map<std::string, Service> m_services; ///< Of m_servers, by name.
};

} // namespace Verbena::Decisions
