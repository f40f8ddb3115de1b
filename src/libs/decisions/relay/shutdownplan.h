#pragma once

#include "runtimes.h"

#include <core/time.h>

#include <chrono>
#include <string>

namespace Verbena::Decisions {

/// \brief A request that is to be sent to a backend server, for the first time or again, while its router ends.
struct StoppingRequest
{
    std::string route;
    bool isRepeatable = false; ///< Whether it may run more than once.
    Core::TimePoint deadline;
    std::chrono::milliseconds elapsed{0}; ///< Time since the stream began that goes on with it; 0 if nothing has begun.
};

/// \brief The times of a router's shutdown, and which requests it still sends to backend servers.
class ShutdownPlan
{
public:
    /// \brief Plans a shutdown that this process noticed at \a noticed, was asked for at \a asked or later, and ends by itself within \a grace after that.
    /// New requests are served for \a notice at most.
    ShutdownPlan(Core::TimePoint noticed, Core::TimePoint asked, std::chrono::milliseconds notice, std::chrono::milliseconds grace);

    /// \brief Returns when the load balancer sends no new callers any more.
    Core::TimePoint noticeEnd() const;

    /// \brief Returns when requests are refused that have not been sent to a backend server.
    Core::TimePoint unsentEnd() const;

    /// \brief Returns when the requests that are left are given up.
    Core::TimePoint giveUpTime() const;

    /// \brief Returns when the process ends even if callers have not read their answers.
    Core::TimePoint end() const;

    /// \brief Returns the first of these times after \a now, but \a latest at the latest.
    Core::TimePoint nextStep(Core::TimePoint now, Core::TimePoint latest) const;

    /// \brief Returns whether \a request, if it is sent at \a now, can be expected to end before giveUpTime().
    bool isExpectedToEnd(const StoppingRequest &request, const RunTimes &times, Core::TimePoint now) const;

private:
    Core::TimePoint m_noticeEnd;
    Core::TimePoint m_unsentEnd;
    Core::TimePoint m_giveUpTime;
    Core::TimePoint m_end;
};

} // namespace Verbena::Decisions
