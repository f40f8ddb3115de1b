#include <decisions/relay/usagekeepers.h>
#include <decisions/relay/usageledger.h>
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

// The routers know and hear all of each other, and have had the same keeper since long ago.
UsageClaimant settled()
{
    return {1h, 28, 28};
}

// What was granted, by when; the sum over any window is what the platform counts.
class Granted
{
public:
    void note(Core::TimePoint at, double cost)
    {
        m_grants.push_back({at, cost});
        while (m_grants.front().first + window < at) {
            m_sum -= m_grants.front().second;
            m_grants.pop_front();
        }
        m_sum += cost;
        m_most = std::max(m_most, m_sum);
    }

    double most() const
    {
        return m_most;
    }

private:
    std::deque<std::pair<Core::TimePoint, double>> m_grants;
    double m_sum = 0;
    double m_most = 0;
};

// An organisation asks for several times its cap, in requests of any size, some of which do not run in the end.
TEST(UsageLedgerTest, grantsNoMoreThanTheCapInAnyWindow)
{
    rc::check([] {
        UsageLedger ledger(slack, start - 1h);
        Granted granted;
        Core::TimePoint now = start;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 200), rc::gen::inRange(1, 260)));
        for (const auto &[pause, cost] : steps) {
            now += std::chrono::milliseconds(pause);
            if (!ledger.take(claim(cost), settled(), now).isGranted) {
                continue;
            }
            if (cost % 5 == 0) {
                ledger.giveBack(claim(cost), now);
            } else {
                granted.note(now, cost);
            }
        }
        RC_ASSERT(granted.most() <= 8 * 100 + 200 + slack + 1e-6);
    });
}

// All of one organisation's callers come to a few of many routers, as they do through a balancer that hashes them. A part of the cap for each router would
// leave most of it unused.
TEST(UsageLedgerTest, grantsTheWholeCapWhereverItIsAskedFor)
{
    UsageLedger ledger(0, start - 1h);
    double sum = 0;
    for (Core::TimePoint now = start; now < start + 10s; now += 10ms) {
        sum += ledger.take(claim(5), settled(), now).isGranted ? 5 : 0;
    }
    EXPECT_GE(sum, 0.99 * (10 * 100 + 200));
}

TEST(UsageLedgerTest, tellsWhenThereIsRoomAgain)
{
    UsageLedger ledger(0, start - 1h);
    EXPECT_TRUE(ledger.take(claim(200), settled(), start).isGranted);
    const UsageVerdict verdict = ledger.take(claim(50), settled(), start);
    ASSERT_FALSE(verdict.isGranted);
    EXPECT_EQ(verdict.comeBack, 500ms);
    EXPECT_TRUE(ledger.take(claim(50), settled(), start + verdict.comeBack).isGranted);
}

// The keeper is killed, or another one takes over, in the middle of a load beyond the cap. The burst was granted by the one before already.
TEST(UsageLedgerTest, grantsNoBurstAgainAfterItTookOver)
{
    UsageLedger restarted(0, start);
    EXPECT_FALSE(restarted.take(claim(10), settled(), start).isGranted);
    EXPECT_TRUE(restarted.take(claim(10), settled(), start + 100ms).isGranted);
    UsageLedger heir(0, start - 1h);
    EXPECT_FALSE(heir.take(claim(40), {300ms, 28, 28}, start).isGranted);
    EXPECT_TRUE(heir.take(claim(30), {300ms, 28, 28}, start).isGranted);
}

// A third of the routers is cut off and uses its own share.
TEST(UsageLedgerTest, leavesTheirShareToRoutersThatItDoesNotHear)
{
    UsageLedger ledger(0, start - 1h);
    Granted granted;
    for (Core::TimePoint now = start; now < start + 20s; now += 10ms) {
        if (ledger.take(claim(5), {1h, 30, 20}, now).isGranted) {
            granted.note(now, 5);
        }
    }
    EXPECT_LE(granted.most(), 2.0 / 3 * (8 * 100 + 200) + 5);
}

TEST(UsageLedgerTest, followsTheNewestCapOnly)
{
    const UsageCap lower{10, 20, true, 1};
    UsageLedger ledger(0, start - 1h);
    EXPECT_TRUE(ledger.take(claim(100, 1), settled(), start).isGranted);
    EXPECT_FALSE(ledger.take(claim(30, 2, lower), settled(), start).isGranted);
    EXPECT_FALSE(ledger.take(claim(30, 1), settled(), start).isGranted);
    EXPECT_TRUE(ledger.take(claim(20, 1), settled(), start).isGranted);
}

// The keeper is gone while all routers get several times what the organisation may use.
TEST(UsageShareTest, keepsTheCapTogetherWithAllOtherRouters)
{
    constexpr std::uint32_t routers = 28;
    std::vector<UsageShare> shares(routers, UsageShare(slack, start));
    Granted granted;
    for (Core::TimePoint now = start; now < start + 20s; now += 20ms) {
        for (UsageShare &share : shares) {
            share.setRouterCount(routers);
            if (share.take(claim(3), now).isGranted) {
                granted.note(now, 3);
            }
        }
    }
    EXPECT_LE(granted.most(), 1.1 * (8 * 100 + 200) + 2 * slack);
    EXPECT_GE(granted.most(), 8 * 100);
}

// The part of one router is smaller than any request. Without more none would ever be served while the keeper is away.
TEST(UsageShareTest, letsARequestInThatIsLargerThanItsPart)
{
    UsageShare share(slack, start);
    share.setRouterCount(28);
    EXPECT_FALSE(share.take(claim(90), start).isGranted);
    EXPECT_TRUE(share.take(claim(90), start + 3s).isGranted);
    const UsageVerdict verdict = share.take(claim(90), start + 4s);
    EXPECT_FALSE(verdict.isGranted);
    EXPECT_GT(verdict.comeBack, 20s);
}

TEST(UsageShareTest, isEmptyWhenTheKeeperHasJustAnswered)
{
    UsageShare share(0, start);
    share.setRouterCount(10);
    EXPECT_TRUE(share.take(claim(15), start + 5s).isGranted);
    share.noteKept("dams", start + 10s);
    EXPECT_FALSE(share.take(claim(15), start + 10s).isGranted);
}

// All routers were restarted at once: nobody has named any of them yet, and each of many takes its part of an unknown number.
TEST(UsageShareTest, usesLittleWhileNoRouterIsKnown)
{
    UsageShare share(0, start);
    double sum = 0;
    for (Core::TimePoint now = start; now < start + 2s; now += 10ms) {
        sum += share.take(claim(1), now).isGranted ? 1 : 0;
    }
    EXPECT_LE(sum, 4);
}

TEST(UsageKeepersTest, changesTheKeeperOnlyWhereItIsGone)
{
    UsageKeepers keepers(start);
    EXPECT_FALSE(keepers.keeper("dams", start).has_value());
    std::vector<std::string> agents;
    for (int number = 1; number <= 20; ++number) {
        agents.push_back("10.0.0." + std::to_string(number) + ":80");
    }
    keepers.setAgents(agents);
    std::map<std::string, std::string> before;
    for (int number = 0; number < 200; ++number) {
        const std::string name = "organisation-" + std::to_string(number);
        before[name] = keepers.keeper(name, start)->address;
    }
    const std::string gone = agents.back();
    agents.pop_back();
    keepers.setAgents(agents);
    int changed = 0;
    for (const auto &[name, address] : before) {
        const UsageKeeperChoice choice = *keepers.keeper(name, start + 5s);
        EXPECT_EQ(choice.address == address, address != gone);
        EXPECT_EQ(choice.keptFor, choice.address == address ? std::chrono::microseconds(5s) : std::chrono::microseconds(0));
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
