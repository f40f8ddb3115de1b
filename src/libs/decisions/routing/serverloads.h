#pragma once

#include "backendserver.h"

#include <core/time.h>

#include <cstdint>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief What an agent says of itself with a reply.
struct LoadReport
{
    std::uint64_t incarnation = 0;
    std::chrono::microseconds queuedWork{0}; ///< Until a new request would begin prefill.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t overloadLevel = 0; ///< Requests marked at or above this are refused; 0 means none.
    std::chrono::microseconds prefillPerPiece{0};
    bool isLeaving = false;
};

/// \brief What one router believes of the load of backend servers: their hints, which grow stale, and its own work on top.
class ServerLoads
{
public:
    explicit ServerLoads(std::chrono::microseconds hintLifetime);

    /// \brief Takes a hint; it stands for all work that the agent had received by then.
    void noteReport(BackendServerId id, const LoadReport &report, Core::TimePoint now);

    /// \brief Counts \a work that was sent and not answered yet.
    void noteSent(BackendServerId id, std::chrono::microseconds work);

    /// \brief Takes back \a work: the agent has answered, so its hints count it.
    void noteAnswered(BackendServerId id, std::chrono::microseconds work);

    /// \brief Keeps new work away from \a id until \a deadline.
    void pause(BackendServerId id, Core::TimePoint deadline);

    /// \brief The backend server \a id has started again: nothing of before holds.
    void restart(BackendServerId id, std::uint64_t incarnation);

    /// \brief Forgets the backend server.
    void remove(BackendServerId id);

    /// \brief Expected time until a new request would begin prefill.
    std::chrono::microseconds wait(BackendServerId id, Core::TimePoint now) const;

    /// \brief Work that was sent and not answered yet.
    std::chrono::microseconds unanswered(BackendServerId id) const;

    /// \brief Measured cost of a missing piece, or \a otherwise if it has not been said.
    std::chrono::microseconds prefillPerPiece(BackendServerId id, std::chrono::microseconds otherwise) const;

    /// \brief Whether it refused a moment ago, or said that it is leaving.
    bool isPaused(BackendServerId id, Core::TimePoint now) const;

    /// \brief The level in force at \a id, or 0 if none was heard of lately.
    std::uint32_t overloadLevel(BackendServerId id, Core::TimePoint now) const;

    /// \brief Tells one life of its cache from the next.
    std::uint64_t epoch(BackendServerId id) const;

private:
    struct Load
    {
        LoadReport report;
        Core::TimePoint noted{};
        Core::TimePoint deadline{}; ///< Of the report.
        Core::TimePoint pausedUntil{};
        std::chrono::microseconds unanswered{0};
    };

    const Load *find(BackendServerId id) const;

    std::chrono::microseconds m_hintLifetime;
    std::unordered_map<BackendServerId, Load> m_loads;
};

} // namespace Verbena::Decisions
