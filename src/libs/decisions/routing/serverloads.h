#pragma once

#include "backendserver.h"

#include <core/time.h>

#include <cstdint>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Load of a backend server as its agent reports it with a reply.
struct LoadReport
{
    std::uint64_t incarnation = 0;
    std::chrono::microseconds queuedWork{0}; ///< Time until a new request would begin prefill.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t overloadLevel = 0; ///< Lowest mark of requests that are refused; 0 if none are.
    std::chrono::microseconds prefillPerPiece{0}; ///< Measured cost of a missing piece; zero if unknown.
    bool isLeaving = false;
};

/// \brief Load of the backend servers as estimated by one router.
///
/// The estimate is the last load report, which expires, plus the work that the router itself has sent since.
class ServerLoads
{
public:
    explicit ServerLoads(std::chrono::microseconds hintLifetime);

    /// \brief Replaces the load report of \a id; \a report covers all work that the agent had received by then.
    void updateReport(BackendServerId id, const LoadReport &report, Core::TimePoint now);

    /// \brief Adds \a work that was sent to \a id and is not answered yet.
    void recordSent(BackendServerId id, std::chrono::microseconds work);

    /// \brief Subtracts \a work that \a id has answered, as its load reports include it from then on.
    void recordAnswered(BackendServerId id, std::chrono::microseconds work);

    /// \brief Sends no new work to \a id until \a until.
    void pause(BackendServerId id, Core::TimePoint until);

    /// \brief Resets the load of \a id, which has restarted as \a incarnation.
    void markRestarted(BackendServerId id, std::uint64_t incarnation);

    /// \brief Removes the load of \a id.
    void remove(BackendServerId id);

    /// \brief Returns the expected time until a new request would begin prefill at \a id.
    std::chrono::microseconds expectedWait(BackendServerId id, Core::TimePoint now) const;

    /// \brief Returns the work that was sent to \a id and is not answered yet.
    std::chrono::microseconds unansweredWork(BackendServerId id) const;

    /// \brief Returns the reported cost of a missing piece at \a id, or \a defaultCost if none was reported.
    std::chrono::microseconds prefillPerPiece(BackendServerId id, std::chrono::microseconds defaultCost) const;

    /// \brief Returns whether \a id gets no new work for now, as it refused recently or reported that it is leaving.
    bool isPaused(BackendServerId id, Core::TimePoint now) const;

    /// \brief Returns the overload level of \a id, or 0 if no recent report contains one.
    std::uint32_t overloadLevel(BackendServerId id, Core::TimePoint now) const;

    /// \brief Returns the last reported incarnation of \a id, which changes when its cache is lost; 0 if unknown.
    std::uint64_t incarnation(BackendServerId id) const;

private:
    struct Load
    {
        LoadReport report;
        Core::TimePoint reportedAt{};
        Core::TimePoint validUntil{}; ///< Time at which the report expires.
        Core::TimePoint pausedUntil{};
        std::chrono::microseconds unansweredWork{0};
    };

    const Load *find(BackendServerId id) const;

    std::chrono::microseconds m_hintLifetime;
    std::unordered_map<BackendServerId, Load> m_loads;
};

} // namespace Verbena::Decisions
