#pragma once

#include <core/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Verbena::Decisions {

/// \brief How many requests may be sent to a second backend server, by all routers together.
struct ResendLimits
{
    double ratio = 0.2; ///< Of the requests for the service in a window.
    double slack = 0.0; ///< On top, in a window, shared by all routers.
    std::chrono::milliseconds window{10'000};
};

/// \brief What a resend is for; the more is lost without it, the more of the budget it may use.
enum class ResendPurpose {
    Move, ///< Makes room for others; the stream would go on without it.
    Failure, ///< Without it the request fails, and the caller may ask again.
    BegunStream, ///< Without it a stream breaks off that the caller has begun to read.
};

/// \brief What a router believes of its part of the resends, for its log.
struct ResendBalance
{
    double left = 0; ///< Resends to one service for one purpose that there are.
    std::uint32_t routers = 1; ///< That share the slack.
};

/// \brief One router's part of the resends that a service bears, without a word between routers and without memory beyond the process.
///
/// It answers failures that come in numbers: without it each of them would cost the service a second request just when it is weakest. A token bucket a
/// service, empty when the process starts, that requests and time fill: the sum over all routers stays within the limits in any window, whichever of them
/// are killed, stand still, start or take over the callers of others, and however often.
class ResendBudget
{
public:
    /// \brief Begins at \a start; \a routerCount routers share the slack.
    ResendBudget(const ResendLimits &limits, std::uint32_t routerCount, Core::TimePoint start);

    void setRouterCount(std::uint32_t count);

    /// \brief The process stood still until \a now: callers sent the requests that it reads next long before.
    void noteStandstill(Core::TimePoint now);

    /// \brief Counts a request for \a service.
    void noteRequest(const std::string &service, Core::TimePoint now);

    /// \brief Takes one resend to \a service; false if there is none left for \a purpose.
    bool tryTake(const std::string &service, ResendPurpose purpose, Core::TimePoint now);

    /// \brief What there is for \a purpose.
    ResendBalance balance(const std::string &service, ResendPurpose purpose, Core::TimePoint now);

private:
    // Counts in steps of a part of the window, so that the memory does not grow with the load.
    struct Step
    {
        Core::TimePoint begin;
        std::uint32_t requests = 0;
    };

    struct Account
    {
        double level = 0;
        Core::TimePoint filledAt;
        std::deque<Step> steps;
        std::uint64_t requests = 0; ///< In all steps.
    };

    Account &account(const std::string &service, Core::TimePoint now);
    double capacity(const Account &account) const;

    ResendLimits m_limits;
    std::uint32_t m_routerCount;
    Core::TimePoint m_start;
    Core::TimePoint m_backlogEnd; ///< Until then requests are read that callers sent long before.
    std::map<std::string, Account> m_accounts; ///< By service.
};

} // namespace Verbena::Decisions
