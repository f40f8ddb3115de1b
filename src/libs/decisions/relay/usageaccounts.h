#pragma once

#include "prioritizedbucket.h"
#include "usageclaim.h"

#include <core/time.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Verbena::Decisions {

/// \brief What a router that claims usage reports about owners and routers.
struct UsageClaimant
{
    std::chrono::microseconds ownedFor{0}; ///< Time for which the router has assumed this process to be the owner of the organisation's usage counter.
    std::uint32_t routerCount = 0; ///< Number of routers that share the cap; 0 if unknown.
    std::uint32_t reachableRouterCount = 0; ///< Number of these routers that this process can reach.
};

/// \brief The usage counters of the organisations that this process owns.
///
/// Limits callers that send several times what their organisation may use over many routers at once, which no router can detect by itself. As one process
/// counts for all routers, callers of one router may use what other routers left. More urgent requests go before others.
class UsageAccounts
{
public:
    /// \brief Lets organisations use \a slack more than their burst, so that requests larger than the burst can be granted. Accounts fill from \a start at
    /// the earliest.
    UsageAccounts(double slack, Core::TimePoint start);

    /// \brief Consumes the cost of \a claim if its cap allows it.
    UsageVerdict tryConsume(const UsageClaim &claim, const UsageClaimant &claimant, Core::TimePoint now);

    /// \brief Refunds the cost of a granted \a claim whose request did not run.
    void refund(const UsageClaim &claim, Core::TimePoint now);

private:
    struct Account
    {
        UsageCap cap;
        std::uint64_t capVersion = 0;
        Core::TimePoint confirmedAt; ///< Time of the last claim that named this version.
        PrioritizedBucket bucket;
    };

    Account &account(const UsageClaim &claim, std::chrono::microseconds ownedFor, Core::TimePoint now);
    static void updateCap(Account &account, const UsageClaim &claim, Core::TimePoint now);
    BucketSize bucketSize(const UsageCap &cap, double part) const;

    double m_slack;
    Core::TimePoint m_start;
    std::map<std::string, Account> m_accounts; ///< Accounts by organisation.
};

} // namespace Verbena::Decisions
