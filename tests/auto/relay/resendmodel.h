#pragma once

#include <decisions/relay/resendbudget.h>

#include <deque>
#include <optional>
#include <vector>

namespace Verbena::Decisions {

/// \brief What a balancer, callers and failing backend servers do to routers, each with a budget of its own, in virtual time.
///
/// Counts as the promise does: requests when callers sent them, whether a router lived to read them or not, and every resend that was taken.
class ResendModel
{
public:
    ResendModel(const ResendLimits &limits, std::size_t routers, std::uint32_t assumedCount);

    /// \brief The process of \a router ends at once and is back after \a downtime.
    void kill(std::size_t router, std::chrono::milliseconds downtime);

    /// \brief The process of \a router stands still; what callers send meanwhile lies unread.
    void freeze(std::size_t router, std::chrono::milliseconds span);

    /// \brief What \a router believes from now on, right or wrong.
    void setCount(std::size_t router, std::uint32_t count);

    /// \brief A router comes that was not there.
    void add();

    /// \brief \a count callers send a request to \a router, and of what it reads it tries to send each one again \a tries times.
    void send(std::size_t router, int count, int tries, ResendPurpose purpose);

    void advance(std::chrono::milliseconds step);

    std::size_t routers() const;

    /// \brief Resends so far.
    std::size_t resends() const;

    /// \brief By how much the resends of the worst window are more than the limits allow; 0 or less keeps them.
    double excess() const;

private:
    struct Waiting
    {
        int tries = 0;
        ResendPurpose purpose = ResendPurpose::Failure;
    };

    struct Router
    {
        std::optional<ResendBudget> budget; ///< Of the process that runs, if one does.
        std::uint32_t count = 1;
        Core::TimePoint startTime;
        Core::TimePoint wakeTime;
        std::deque<Waiting> unread;
    };

    void read(Router &router);
    std::size_t inWindow(const std::vector<Core::TimePoint> &moments, Core::TimePoint end) const;

    ResendLimits m_limits;
    std::uint32_t m_assumedCount;
    Core::TimePoint m_now;
    std::vector<Router> m_routers;
    std::vector<Core::TimePoint> m_requests;
    std::vector<Core::TimePoint> m_resends;
};

} // namespace Verbena::Decisions
