#include "usageledger.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// More than any deployment has; a bound on what packets from anywhere can cost.
constexpr std::size_t mostAccounts = 65536;

// Routers that are cut off from this process use their own share of the cap, which has to be left to them.
double partOfHeard(const UsageClaimant &claimant)
{
    if (claimant.routersKnown <= claimant.routersHeard) {
        return 1;
    }
    return static_cast<double>(std::max(1U, claimant.routersHeard)) / claimant.routersKnown;
}

} // namespace

UsageLedger::UsageLedger(double slack, Core::TimePoint start)
    : m_slack(slack)
    , m_start(start)
{
}

BucketSize UsageLedger::size(const UsageCap &cap, double part) const
{
    return {part * cap.perSecond, part * (cap.burst + m_slack)};
}

// What was used before this process began, or of another keeper before this one took over, is not known here. So an account begins empty at that moment: a
// full one would grant the burst twice.
UsageLedger::Account &UsageLedger::account(const UsageClaim &claim, std::chrono::microseconds keptFor, Core::TimePoint now)
{
    const auto known = m_accounts.find(claim.organisation);
    if (known == m_accounts.end()) {
        if (m_accounts.size() >= mostAccounts) {
            m_accounts.erase(m_accounts.begin());
        }
        const Core::TimePoint begin = std::max(m_start, now - keptFor);
        return m_accounts.emplace(claim.organisation, Account{claim.cap, claim.capVersion, UsageBucket(begin)}).first->second;
    }
    Account &account = known->second;
    if (claim.capVersion > account.capVersion) {
        account.cap = claim.cap;
        account.capVersion = claim.capVersion;
    }
    return account;
}

UsageVerdict UsageLedger::take(const UsageClaim &claim, const UsageClaimant &claimant, Core::TimePoint now)
{
    Account &known = account(claim, claimant.keptFor, now);
    const BucketSize bucket = size(known.cap, partOfHeard(claimant));
    const double level = known.bucket.level(bucket, now);
    if (level < claim.cost) {
        return {false, timeToFill(claim.cost - level, bucket.perSecond)};
    }
    known.bucket.use(claim.cost);
    return {true, {}};
}

void UsageLedger::giveBack(const UsageClaim &claim, Core::TimePoint now)
{
    const auto known = m_accounts.find(claim.organisation);
    if (known != m_accounts.end()) {
        known->second.bucket.level(size(known->second.cap, 1), now);
        known->second.bucket.use(-claim.cost);
    }
}

} // namespace Verbena::Decisions
