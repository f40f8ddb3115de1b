#include "resendbudget.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Number of intervals of a window in which requests are counted separately.
constexpr int intervalsPerWindow = 20;

// Fractions of the resends allowed for each request: what a request adds to the bucket, and what the bucket may keep for each request of the last window. In
// a window all routers together use at most the content of their buckets at its begin, which the requests of the window before allow, and what the requests
// in it add. So the sum of both fractions has to stay below 1, also if a router that has emptied its bucket is lost and another one takes over its callers.
// The rest is for requests that are read late.
constexpr double earnedFraction = 0.6;
constexpr double keptFraction = 0.3;

// The same fractions of the slack: what time adds in a window, and what the buckets of all routers may keep. The rest is for routers that know too few of the
// others.
constexpr double earnedSlackFraction = 0.2;
constexpr double keptSlackFraction = 0.4;

// A shorter window would be divided by as zero.
constexpr std::chrono::milliseconds shortestWindow{1};

// Time after a stall in which a process reads the requests that were sent during the stall.
constexpr std::chrono::milliseconds backlogDuration{500};

// Fractions of a full bucket that moves leave for the failures that follow them, and that failures leave for streams that would break off.
constexpr double fractionReservedFromMoves = 0.5;
constexpr double fractionReservedFromFailures = 0.1;

double reservedFraction(ResendPurpose purpose)
{
    switch (purpose) {
    case ResendPurpose::Move:
        return fractionReservedFromMoves;
    case ResendPurpose::Failure:
        return fractionReservedFromFailures;
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
    m_limits.window = std::max(shortestWindow, m_limits.window);
}

void ResendBudget::setRouterCount(std::uint32_t count)
{
    m_routerCount = std::max<std::uint32_t>(1, count);
}

void ResendBudget::handleStall(Core::TimePoint now)
{
    m_backlogEnd = now + backlogDuration;
}

double ResendBudget::capacity(const Account &account) const
{
    return keptFraction * m_limits.ratio * static_cast<double>(account.requests) + keptSlackFraction * m_limits.slack / m_routerCount;
}

// A process does not know what an earlier process at its address and the other routers have used. So a bucket is empty at the start of the process and fills
// from then on.
ResendBudget::Account &ResendBudget::account(const std::string &service, Core::TimePoint now)
{
    Account &account = m_accounts.try_emplace(service, Account{0, m_start, {}, 0}).first->second;
    while (!account.intervals.empty() && account.intervals.front().begin + m_limits.window < now) {
        account.requests -= account.intervals.front().requests;
        account.intervals.pop_front();
    }
    const std::chrono::duration<double> passed = std::max(now, account.refilledAt) - account.refilledAt;
    const double added = earnedSlackFraction * m_limits.slack / m_routerCount * (passed / m_limits.window);
    account.level = std::min(account.level + added, capacity(account));
    account.refilledAt = std::max(now, account.refilledAt);
    return account;
}

// Requests that are read after a stall may have been sent in an earlier window, whose resends have been used already.
void ResendBudget::recordRequest(const std::string &service, Core::TimePoint now)
{
    if (now < m_backlogEnd) {
        return;
    }
    Account &entry = account(service, now);
    if (entry.intervals.empty() || entry.intervals.back().begin + m_limits.window / intervalsPerWindow < now) {
        entry.intervals.push_back({now});
    }
    ++entry.intervals.back().requests;
    ++entry.requests;
    entry.level = std::min(entry.level + earnedFraction * m_limits.ratio, capacity(entry));
}

ResendBalance ResendBudget::balance(const std::string &service, ResendPurpose purpose, Core::TimePoint now)
{
    const Account &entry = account(service, now);
    return {entry.level - reservedFraction(purpose) * capacity(entry), m_routerCount};
}

bool ResendBudget::tryConsume(const std::string &service, ResendPurpose purpose, Core::TimePoint now)
{
    if (balance(service, purpose, now).available < 1) {
        return false;
    }
    --m_accounts[service].level;
    return true;
}

} // namespace Verbena::Decisions
