#pragma once

#include <core/time.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief A call that was sent to a backend server and has no whole answer yet.
struct RunningCall
{
    std::string route;
    Core::TimePoint sentAt;
};

/// \brief How long calls take from sending to the end of the answer, by route, as one router sees it.
///
/// Answers that ended lately say how long calls took; calls that have been running for longer than any of these say that calls take longer now.
class RunTimes
{
public:
    /// \brief Records that a call of \a route had its whole answer \a took after it was sent.
    void record(const std::string &route, std::chrono::milliseconds took, Core::TimePoint now);

    /// \brief Replaces the calls that are running.
    void setRunning(const std::vector<RunningCall> &calls);

    /// \brief Returns the expected fraction of calls of \a route that take longer than \a longest, of those that take longer than \a elapsed; 0 if nothing is
    /// known.
    double fractionAbove(const std::string &route, std::chrono::milliseconds elapsed, std::chrono::milliseconds longest, Core::TimePoint now) const;

private:
    struct Sample
    {
        std::chrono::milliseconds took;
        Core::TimePoint endedAt;
    };

    struct Route
    {
        std::vector<Sample> latest; ///< The oldest is replaced.
        std::size_t next = 0; ///< Index of the oldest.
    };

    void forgetSilentRoutes(Core::TimePoint now);
    /// \brief Returns the samples of \a route that still count, the latest last.
    std::vector<Sample> recentSamples(const std::string &route, Core::TimePoint now) const;
    static double latestFraction(const std::vector<Sample> &samples, std::chrono::milliseconds longest);
    double overdueFraction(const std::string &route, const std::vector<Sample> &samples, std::chrono::milliseconds longest, Core::TimePoint now) const;

    std::map<std::string, Route> m_routes; ///< By name.
    std::map<std::string, std::vector<Core::TimePoint>> m_running; ///< Times of sending, by route.
};

} // namespace Verbena::Decisions
