#pragma once

#include "usagebucket.h"
#include "usageclaim.h"

#include <core/time.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Verbena::Decisions {

/// \brief What a router knows of the routers that claim, beside the claim itself.
struct UsageClaimant
{
    std::chrono::microseconds keptFor{0}; ///< Since it takes the ledger's process for the keeper of this organisation.
    std::uint32_t routersKnown = 0; ///< That share the cap; 0 if it knows of none.
    std::uint32_t routersHeard = 0; ///< Of those, the ones that the ledger's process hears of.
};

/// \brief The usage of the organisations that one process keeps for all routers.
///
/// It answers callers that send several times what their organisation may use, over many routers at once: each router alone sees too little to tell.
/// One process counts for all, so what callers ask of one router may use what another one left.
class UsageLedger
{
public:
    /// \brief Organisations may use \a slack more than their burst; it lets requests in that are larger than the burst. Begins at \a start.
    UsageLedger(double slack, Core::TimePoint start);

    /// \brief Takes the cost of \a claim if its cap allows it.
    UsageVerdict take(const UsageClaim &claim, const UsageClaimant &claimant, Core::TimePoint now);

    /// \brief Gives back the cost of a \a claim that was granted, of a request that did not run.
    void giveBack(const UsageClaim &claim, Core::TimePoint now);

private:
    struct Account
    {
        UsageCap cap;
        std::uint64_t capVersion = 0;
        UsageBucket bucket;
    };

    Account &account(const UsageClaim &claim, std::chrono::microseconds keptFor, Core::TimePoint now);
    BucketSize size(const UsageCap &cap, double part) const;

    double m_slack;
    Core::TimePoint m_start;
    std::map<std::string, Account> m_accounts; ///< By organisation.
};

} // namespace Verbena::Decisions
