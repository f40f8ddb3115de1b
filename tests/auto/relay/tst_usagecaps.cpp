#include <decisions/relay/usageaccounts.h>
#include <decisions/relay/usageowners.h>
#include <decisions/relay/usageshare.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

const Core::TimePoint start = Core::TimePoint() + 1h;

constexpr auto window = 8s;
constexpr double slack = 50;

UsageClaim claim(double cost, std::uint64_t version = 1, const UsageCap &cap = {100, 200, true, 1})
{
    return {"dams", cap, version, cost};
}

// Returns a claimant for which all routers reach each other and have had the same owner for a long time.
UsageClaimant connectedClaimant()
{
    return {1h, 28, 28};
}

// Records the granted costs and their maximum sum over a window, which is what the platform limits.
class GrantLog
{
public:
    void record(Core::TimePoint at, double cost)
    {
        m_grants.push_back({at, cost});
        while (m_grants.front().first + window < at) {
            m_sum -= m_grants.front().second;
            m_grants.pop_front();
        }
        m_sum += cost;
        m_maximum = std::max(m_maximum, m_sum);
    }

    double maximum() const
    {
        return m_maximum;
    }

private:
    std::deque<std::pair<Core::TimePoint, double>> m_grants;
    double m_sum = 0;
    double m_maximum = 0;
};

// An organisation claims several times its cap, in requests of any size, some of which do not run.
TEST(UsageAccountsTest, grantsNoMoreThanTheCapInAnyWindow)
{
    EXPECT_TRUE(rc::check([] {
        UsageAccounts accounts(slack, start - 1h);
        GrantLog granted;
        Core::TimePoint now = start;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 200), rc::gen::inRange(1, 260)));
        for (const auto &[pause, cost] : steps) {
            now += std::chrono::milliseconds(pause);
            if (!accounts.tryConsume(claim(cost), connectedClaimant(), now).isGranted) {
                continue;
            }
            if (cost % 5 == 0) {
                accounts.refund(claim(cost), now);
            } else {
                granted.record(now, cost);
            }
        }
        RC_ASSERT(granted.maximum() <= 8 * 100 + 200 + slack + 1e-6);
    }));
}

// One claim with a version that no configuration has held its cap until the agent ended.
TEST(UsageAccountsTest, capOfAnOddVersionStaysForGood)
{
    UsageAccounts accounts(0, start - 1h);
    const UsageCap odd{1e9, 1e9, true, 1};
    accounts.tryConsume(claim(1, std::uint64_t(1) << 63, odd), connectedClaimant(), start);
    double sum = 0;
    for (Core::TimePoint now = start + 6s; now < start + 16s; now += 10ms) {
        sum += accounts.tryConsume(claim(5), connectedClaimant(), now).isGranted ? 5 : 0;
    }
    EXPECT_LE(sum, 200 + 10 * 100);
}

// A router with an older configuration claims all the time beside one with the newest.
TEST(UsageAccountsTest, capOfAnOlderConfigurationNeverReturnsWhileTheNewerOneIsNamed)
{
    UsageAccounts accounts(0, start - 1h);
    const UsageCap older{1e9, 1e9, true, 1};
    double sum = 0;
    for (Core::TimePoint now = start; now < start + 20s; now += 1s) {
        sum += accounts.tryConsume(claim(1, 2), connectedClaimant(), now).isGranted ? 1 : 0;
        sum += accounts.tryConsume(claim(1e6, 1, older), connectedClaimant(), now + 500ms).isGranted ? 1e6 : 0;
    }
    EXPECT_LE(sum, 200 + 20 * 100);
}

// All callers of one organisation are sent to a few of many routers, as by a load balancer that hashes them. A fixed part of the cap for each router would
// leave most of it unused.
TEST(UsageAccountsTest, grantsTheWholeCapToAnyRouters)
{
    UsageAccounts accounts(0, start - 1h);
    double sum = 0;
    for (Core::TimePoint now = start; now < start + 10s; now += 10ms) {
        sum += accounts.tryConsume(claim(5), connectedClaimant(), now).isGranted ? 5 : 0;
    }
    EXPECT_GE(sum, 0.99 * (10 * 100 + 200));
}

TEST(UsageAccountsTest, returnsTheTimeUntilARequestIsGranted)
{
    UsageAccounts accounts(0, start - 1h);
    EXPECT_TRUE(accounts.tryConsume(claim(200), connectedClaimant(), start).isGranted);
    const UsageVerdict verdict = accounts.tryConsume(claim(50), connectedClaimant(), start);
    ASSERT_FALSE(verdict.isGranted);
    EXPECT_EQ(verdict.retryAfter, 500ms);
    EXPECT_TRUE(accounts.tryConsume(claim(50), connectedClaimant(), start + verdict.retryAfter).isGranted);
}

// The owner is killed or replaced during a load beyond the cap. The previous owner has granted the burst already.
TEST(UsageAccountsTest, grantsNoBurstAfterAChangeOfOwner)
{
    UsageAccounts restarted(0, start);
    EXPECT_FALSE(restarted.tryConsume(claim(10), connectedClaimant(), start).isGranted);
    EXPECT_TRUE(restarted.tryConsume(claim(10), connectedClaimant(), start + 100ms).isGranted);
    UsageAccounts successor(0, start - 1h);
    EXPECT_FALSE(successor.tryConsume(claim(40), {300ms, 28, 28}, start).isGranted);
    EXPECT_TRUE(successor.tryConsume(claim(30), {300ms, 28, 28}, start).isGranted);
}

// A third of the routers is cut off from the owner and uses its own share.
TEST(UsageAccountsTest, reservesTheShareOfUnreachableRouters)
{
    UsageAccounts accounts(0, start - 1h);
    GrantLog granted;
    for (Core::TimePoint now = start; now < start + 20s; now += 10ms) {
        if (accounts.tryConsume(claim(5), {1h, 30, 20}, now).isGranted) {
            granted.record(now, 5);
        }
    }
    EXPECT_LE(granted.maximum(), 2.0 / 3 * (8 * 100 + 200) + 5);
}

TEST(UsageAccountsTest, usesTheNewestCapOnly)
{
    const UsageCap lower{10, 20, true, 1};
    UsageAccounts accounts(0, start - 1h);
    EXPECT_TRUE(accounts.tryConsume(claim(100, 1), connectedClaimant(), start).isGranted);
    EXPECT_FALSE(accounts.tryConsume(claim(30, 2, lower), connectedClaimant(), start).isGranted);
    EXPECT_FALSE(accounts.tryConsume(claim(30, 1), connectedClaimant(), start).isGranted);
    EXPECT_TRUE(accounts.tryConsume(claim(20, 1), connectedClaimant(), start).isGranted);
}

// The owner is lost while callers send several times the cap to all routers.
TEST(UsageShareTest, staysWithinTheCapTogetherWithAllRouters)
{
    constexpr std::uint32_t routers = 28;
    std::vector<UsageShare> shares(routers, UsageShare(slack, start));
    GrantLog granted;
    for (Core::TimePoint now = start; now < start + 20s; now += 20ms) {
        for (UsageShare &share : shares) {
            share.setRouterCount(routers);
            if (share.tryConsume(claim(3), now).isGranted) {
                granted.record(now, 3);
            }
        }
    }
    EXPECT_LE(granted.maximum(), 1.1 * (8 * 100 + 200) + 2 * slack);
    EXPECT_GE(granted.maximum(), 8 * 100);
}

// The share of one router is smaller than any request. Without an exception none would be granted while the owner is unreachable.
TEST(UsageShareTest, grantsARequestLargerThanTheShare)
{
    UsageShare share(slack, start);
    share.setRouterCount(28);
    EXPECT_FALSE(share.tryConsume(claim(90), start).isGranted);
    EXPECT_TRUE(share.tryConsume(claim(90), start + 3s).isGranted);
    const UsageVerdict verdict = share.tryConsume(claim(90), start + 4s);
    EXPECT_FALSE(verdict.isGranted);
    EXPECT_GT(verdict.retryAfter, 20s);
}

TEST(UsageShareTest, isEmptyAfterAnAnswerOfTheOwner)
{
    UsageShare share(0, start);
    share.setRouterCount(10);
    EXPECT_TRUE(share.tryConsume(claim(15), start + 5s).isGranted);
    share.handleOwnerAnswer("dams", start + 10s);
    EXPECT_FALSE(share.tryConsume(claim(15), start + 10s).isGranted);
}

// All routers were restarted at once: none has been reported yet, and each uses its share of an assumed number.
TEST(UsageShareTest, grantsLittleWhileNoRouterIsKnown)
{
    UsageShare share(0, start);
    double sum = 0;
    for (Core::TimePoint now = start; now < start + 2s; now += 10ms) {
        sum += share.tryConsume(claim(1), now).isGranted ? 1 : 0;
    }
    EXPECT_LE(sum, 4);
}

TEST(UsageOwnersTest, changesOnlyTheOwnersThatAreGone)
{
    UsageOwners owners(start);
    EXPECT_FALSE(owners.owner("dams", start).has_value());
    std::vector<std::string> agents;
    for (int number = 1; number <= 20; ++number) {
        agents.push_back("10.0.0." + std::to_string(number) + ":80");
    }
    owners.setAgents(agents);
    std::map<std::string, std::string> before;
    for (int number = 0; number < 200; ++number) {
        const std::string name = "organisation-" + std::to_string(number);
        before[name] = owners.owner(name, start)->address;
    }
    const std::string gone = agents.back();
    agents.pop_back();
    owners.setAgents(agents);
    int changed = 0;
    for (const auto &[name, address] : before) {
        const UsageOwnerChoice choice = *owners.owner(name, start + 5s);
        EXPECT_EQ(choice.address == address, address != gone);
        EXPECT_EQ(choice.ownedFor, choice.address == address ? std::chrono::microseconds(5s) : std::chrono::microseconds(0));
        changed += choice.address == address ? 0 : 1;
    }
    EXPECT_GT(changed, 0);
    EXPECT_LT(changed, 40);
}

TEST(UsageCostTest, countsRequestsOrTokens)
{
    const UsageCap requests{10, 10, false, 200};
    const UsageCap tokens{10, 10, true, 200};
    EXPECT_EQ(usageCost(requests, 5000), 1);
    EXPECT_EQ(usageCost(tokens, 5000), 5000);
    EXPECT_EQ(usageCost(tokens, std::nullopt), 200);
}

} // namespace

} // namespace Verbena::Decisions
