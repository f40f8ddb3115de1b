#include "resendbudget.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Parts of a window that are counted apart.
constexpr int stepsPerWindow = 20;

// Parts of what a request allows: what it adds to the bucket, and what the bucket may keep for each request of the last window. In a window all routers
// together use at most what was in their buckets when it began, which the requests of the window before bear, and what the requests in it add. So both parts
// together must stay below 1, whoever dies after it has emptied its bucket and whoever takes over its callers. The rest is for requests that are read late.
constexpr double earnedPart = 0.6;
constexpr double keptPart = 0.3;

// The same of the slack: what time adds in a window, and what the buckets of all routers may keep. The rest is for routers that know too few others.
constexpr double earnedSlackPart = 0.2;
constexpr double keptSlackPart = 0.4;

// What callers sent while a process stood still is read by then.
constexpr std::chrono::milliseconds backlogTime{500};

// Parts of a full bucket that moves leave to the failures that follow them, and failures to streams that would break off.
constexpr double partLeftByMoves = 0.5;
constexpr double partLeftByFailures = 0.1;

double leftPart(ResendPurpose purpose)
{
    switch (purpose) {
    case ResendPurpose::Move:
        return partLeftByMoves;
    case ResendPurpose::Failure:
        return partLeftByFailures;
    case ResendPurpose::BegunStream:
        return 0;
    }
    return 1;
}

} // namespace

ResendBudget::ResendBudget(const ResendLimits &limits, std::uint32_t routerCount, Core::TimePoint start)
    : m_limits(limits)
    , m_routerCount(std::max<std::uint32_t>(1, routerCount))
    , m_start(start)
    , m_backlogEnd(start)
{
}

void ResendBudget::setRouterCount(std::uint32_t count)
{
    m_routerCount = std::max<std::uint32_t>(1, count);
}

void ResendBudget::noteStandstill(Core::TimePoint now)
{
    m_backlogEnd = now + backlogTime;
}

double ResendBudget::capacity(const Account &account) const
{
    return keptPart * m_limits.ratio * static_cast<double>(account.requests) + keptSlackPart * m_limits.slack / m_routerCount;
}

// What an earlier process at this address has used is not known, nor what others have. So a bucket begins empty; it fills from the start of the process on.
ResendBudget::Account &ResendBudget::account(const std::string &service, Core::TimePoint now)
{
    Account &account = m_accounts.try_emplace(service, Account{0, m_start, {}, 0}).first->second;
    while (!account.steps.empty() && account.steps.front().begin + m_limits.window < now) {
        account.requests -= account.steps.front().requests;
        account.steps.pop_front();
    }
    const std::chrono::duration<double> passed = std::max(now, account.filledAt) - account.filledAt;
    const double added = earnedSlackPart * m_limits.slack / m_routerCount * (passed / m_limits.window);
    account.level = std::min(account.level + added, capacity(account));
    account.filledAt = std::max(now, account.filledAt);
    return account;
}

// Callers may have sent what is read after a standstill in an earlier window, which has borne its resends already.
void ResendBudget::noteRequest(const std::string &service, Core::TimePoint now)
{
    if (now < m_backlogEnd) {
        return;
    }
    Account &asked = account(service, now);
    if (asked.steps.empty() || asked.steps.back().begin + m_limits.window / stepsPerWindow < now) {
        asked.steps.push_back({now});
    }
    ++asked.steps.back().requests;
    ++asked.requests;
    asked.level = std::min(asked.level + earnedPart * m_limits.ratio, capacity(asked));
}

ResendBalance ResendBudget::balance(const std::string &service, ResendPurpose purpose, Core::TimePoint now)
{
    const Account &asked = account(service, now);
    return {asked.level - leftPart(purpose) * capacity(asked), m_routerCount};
}

bool ResendBudget::tryTake(const std::string &service, ResendPurpose purpose, Core::TimePoint now)
{
    if (balance(service, purpose, now).left < 1) {
        return false;
    }
    --m_accounts[service].level;
    return true;
}

} // namespace Verbena::Decisions
