#pragma once

#include <decisions/relay/resendbudget.h>

#include <deque>
#include <optional>
#include <vector>

namespace Verbena::Decisions {

/// \brief Simulates routers, each with its own resend budget, under a load balancer, callers and failing backend servers, in virtual time.
///
/// Counts like the limits: requests at the time at which callers sent them, whether or not a router lived to read them, and every consumed resend.
class ResendModel
{
public:
    ResendModel(const ResendLimits &limits, std::size_t routers, std::uint32_t assumedCount);

    /// \brief Kills the process of \a router and starts it again after \a downtime.
    void kill(std::size_t router, std::chrono::milliseconds downtime);

    /// \brief Suspends the process of \a router for \a duration; requests sent meanwhile stay unread.
    void freeze(std::size_t router, std::chrono::milliseconds duration);

    /// \brief Sets the number of routers that \a router assumes, whether right or wrong.
    void setCount(std::size_t router, std::uint32_t count);

    /// \brief Adds a router.
    void addRouter();

    /// \brief Sends \a count requests to \a router, which tries to resend each request that it reads \a tries times.
    void send(std::size_t router, int count, int tries, ResendPurpose purpose);

    void advance(std::chrono::milliseconds step);

    std::size_t routers() const;

    /// \brief Returns the number of resends so far.
    std::size_t resends() const;

    /// \brief Returns by how much the resends of the worst window exceed the limits; 0 or less if they are kept.
    double excess() const;

private:
    struct UnreadRequest
    {
        int tries = 0;
        ResendPurpose purpose = ResendPurpose::Failure;
    };

    struct Router
    {
        std::optional<ResendBudget> budget; ///< Budget of the running process; empty while none runs.
        std::uint32_t count = 1;
        Core::TimePoint startTime;
        Core::TimePoint wakeTime;
        std::deque<UnreadRequest> unread;
    };

    void read(Router &router);
    std::size_t countInWindow(const std::vector<Core::TimePoint> &times, Core::TimePoint end) const;

    ResendLimits m_limits;
    std::uint32_t m_assumedCount;
    Core::TimePoint m_now;
    std::vector<Router> m_routers;
    std::vector<Core::TimePoint> m_requests;
    std::vector<Core::TimePoint> m_resends;
};

} // namespace Verbena::Decisions
