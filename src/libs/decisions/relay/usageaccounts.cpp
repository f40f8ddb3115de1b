#include "usageaccounts.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// More than any deployment has. Limits the memory that packets from unknown senders can allocate.
constexpr std::size_t maximumAccounts = 65536;

// Time without a claim that names the version of a cap, after which a claim with an older one replaces it. Every router has a new configuration by then.
constexpr std::chrono::seconds capLifetime{5};

// Returns the fraction of the cap that this process may grant. Routers that are cut off from this process use their own share of the cap, which is reserved
// for them.
double reachableFraction(const UsageClaimant &claimant)
{
    if (claimant.routerCount <= claimant.reachableRouterCount) {
        return 1;
    }
    return static_cast<double>(std::max(1U, claimant.reachableRouterCount)) / claimant.routerCount;
}

} // namespace

UsageAccounts::UsageAccounts(double slack, Core::TimePoint start)
    : m_slack(slack)
    , m_start(start)
{
}

BucketSize UsageAccounts::bucketSize(const UsageCap &cap, double part) const
{
    return {part * cap.perSecond, part * (cap.burst + m_slack)};
}

// The usage before this process started, or counted by another owner before this one took over, is unknown here. So an account is empty at that time; a full
// one would grant the burst twice.
UsageAccounts::Account &UsageAccounts::account(const UsageClaim &claim, std::chrono::microseconds ownedFor, Core::TimePoint now)
{
    const auto found = m_accounts.find(claim.organisation);
    if (found == m_accounts.end()) {
        if (m_accounts.size() >= maximumAccounts) {
            m_accounts.erase(m_accounts.begin());
        }
        const Core::TimePoint openedAt = std::max(m_start, now - ownedFor);
        return m_accounts.emplace(claim.organisation, Account{claim.cap, claim.capVersion, now, PrioritizedBucket(openedAt)}).first->second;
    }
    updateCap(found->second, claim, now);
    return found->second;
}

// Versions of configurations rise, and some routers get a new one later than others. A version that is no longer named was none; if only routers with an older
// configuration claim, their requests are all that the older cap applies to.
void UsageAccounts::updateCap(Account &account, const UsageClaim &claim, Core::TimePoint now)
{
    if (claim.capVersion < account.capVersion && now < account.confirmedAt + capLifetime) {
        return;
    }
    account.cap = claim.cap;
    account.capVersion = claim.capVersion;
    account.confirmedAt = now;
}

UsageVerdict UsageAccounts::tryConsume(const UsageClaim &claim, const UsageClaimant &claimant, Core::TimePoint now)
{
    Account &entry = account(claim, claimant.ownedFor, now);
    return entry.bucket.tryConsume(claim, claim.cost, bucketSize(entry.cap, reachableFraction(claimant)), now);
}

void UsageAccounts::refund(const UsageClaim &claim, Core::TimePoint now)
{
    const auto found = m_accounts.find(claim.organisation);
    if (found != m_accounts.end()) {
        found->second.bucket.refund(claim.cost, bucketSize(found->second.cap, 1), now);
    }
}

} // namespace Verbena::Decisions
