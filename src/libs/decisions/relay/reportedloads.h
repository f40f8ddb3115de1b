#pragma once

#include "serverload.h"

#include <core/time.h>
#include <decisions/routing/backendserver.h>

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Load of backend servers as their answers report it, combined with the requests that this router has under way there.
///
/// What other routers have under way is forgotten within a second, as a report says nothing about requests that ended since.
class ReportedLoads
{
public:
    /// \brief Replaces the report of \a id with \a load; \a unanswered is the number of requests that this router has sent there and that are not answered.
    void update(BackendServerId id, const ServerLoad &load, std::uint32_t unanswered, Core::TimePoint now);

    /// \brief Discards the report of \a id, which has restarted.
    void handleRestart(BackendServerId id);

    /// \brief Removes the backend servers for which \a isGone returns true.
    void removeIf(const std::function<bool(BackendServerId)> &isGone);

    /// \brief Returns whether a new request would have to wait at \a id: a fresh report says so, or this router alone occupies it.
    bool isFull(BackendServerId id, std::uint32_t unanswered, Core::TimePoint now) const;

    /// \brief Returns the expected delay of a new request at \a id by the requests before it, in multiples of the time that one takes.
    double expectedDelay(BackendServerId id, std::uint32_t unanswered, Core::TimePoint now) const;

private:
    struct Report
    {
        ServerLoad load;
        std::uint32_t ofOthers = 0; ///< Requests that other routers had there.
        Core::TimePoint receivedAt{};
    };

    const Report *find(BackendServerId id) const;

    std::unordered_map<BackendServerId, Report> m_reports;
};

} // namespace Verbena::Decisions
