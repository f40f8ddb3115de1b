#pragma once

#include <core/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Verbena::Decisions {

/// \brief Limits of the resends to another backend server, for all routers together.
struct ResendLimits
{
    double ratio = 0.2; ///< Resends allowed for each request for the service in a window.
    double slack = 0.0; ///< Additional resends in a window, shared by all routers.
    std::chrono::milliseconds window{10'000};
};

/// \brief The purpose of a resend. The more is lost without the resend, the more of the budget it may use.
enum class ResendPurpose {
    Move, ///< Moves a stream to free capacity for others; the stream would continue without it.
    Failure, ///< Repeats a failed request; without it the request fails and the caller may retry.
    BegunStream, ///< Continues a stream of which the caller has received a part; without it the stream breaks off.
};

/// \brief The state of a router's resend budget, for its log.
struct ResendBalance
{
    double available = 0; ///< Available resends to a service for a purpose.
    std::uint32_t routerCount = 1; ///< Number of routers that share the slack.
};

/// \brief The share of one router in the resends to each service.
///
/// Limits resends when many calls fail at once; otherwise each failure would cost the service a second request while it has the least capacity. Routers don't
/// communicate for it and store nothing beyond the process. Each service has a token bucket that is empty when the process starts and that requests and time
/// fill. The sum over all routers stays within the limits in any window, whichever routers are killed, stall, start or take over the callers of others, and
/// however often.
class ResendBudget
{
public:
    /// \brief Creates empty buckets that fill from \a start on; \a routerCount routers share the slack.
    ResendBudget(const ResendLimits &limits, std::uint32_t routerCount, Core::TimePoint start);

    void setRouterCount(std::uint32_t count);

    /// \brief Handles a stall of the process that ended at \a now. The requests that it reads next were sent long before and are not counted.
    void handleStall(Core::TimePoint now);

    /// \brief Records a request for \a service.
    void recordRequest(const std::string &service, Core::TimePoint now);

    /// \brief Consumes one resend to \a service. Returns false if none is available for \a purpose.
    bool tryConsume(const std::string &service, ResendPurpose purpose, Core::TimePoint now);

    /// \brief Returns the resends to \a service that are available for \a purpose.
    ResendBalance balance(const std::string &service, ResendPurpose purpose, Core::TimePoint now);

private:
    // Requests are counted by intervals, each a part of the window, so that the memory does not grow with the load.
    struct CountInterval
    {
        Core::TimePoint begin;
        std::uint32_t requests = 0;
    };

    struct Account
    {
        double level = 0;
        Core::TimePoint refilledAt;
        std::deque<CountInterval> intervals;
        std::uint64_t requests = 0; ///< Number of requests in all intervals.
    };

    Account &account(const std::string &service, Core::TimePoint now);
    double capacity(const Account &account) const;

    ResendLimits m_limits;
    std::uint32_t m_routerCount;
    Core::TimePoint m_start;
    Core::TimePoint m_backlogEnd; ///< Time until which the requests that are read were sent long before.
    std::map<std::string, Account> m_accounts; ///< Accounts by service.
};

} // namespace Verbena::Decisions
