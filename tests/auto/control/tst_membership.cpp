#include <decisions/control/backoff.h>
#include <decisions/control/membership.h>
#include <decisions/control/storebudget.h>
#include <standin/platformstate.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>

namespace Verbena::Test {

namespace {

using namespace Decisions;
using namespace std::chrono_literals;
using Store::HostEntry;

constexpr Core::TimePoint start{1h};

class MembershipTest : public testing::Test
{
protected:
    MembershipTest()
    {
        m_settings.models["analyst"].weightsVersion = "7";
        for (const std::string name : {"e1", "e2", "e3", "e4"}) {
            Settings::BackendServerSettings server;
            server.name = name;
            server.endpoint = "tcp://10.0.0.1:70" + name;
            server.failureDomain = name < "e3" ? "a" : "b";
            server.models = {"analyst", "analyst:wall"};
            m_settings.backendServers[name] = server;
        }
        m_membership.setSettings(m_settings);
        m_membership.setHostList(list(), start);
    }

    static std::vector<HostEntry> list()
    {
        return {{"e1", "10.0.0.1", "a", 11, false}, {"e2", "10.0.0.2", "a", 21, false}, {"e3", "10.0.0.3", "b", 31, false}, {"e4", "10.0.0.4", "b", 41, false}};
    }

    BackendServerState stateOf(const std::string &name) const
    {
        for (const BackendServer &server : m_membership.fleet()) {
            if (server.name == name) {
                return server.state;
            }
        }
        return BackendServerState::Dead;
    }

    Settings::InForceSettings m_settings;
    Membership m_membership{MembershipLimits()};
    const BackendServerId m_e1 = backendServerId("e1");
};

TEST_F(MembershipTest, showsWhatTheSettingsDeclare)
{
    const std::vector<BackendServer> fleet = m_membership.fleet();
    ASSERT_EQ(fleet.size(), 4U);
    EXPECT_TRUE(fleet[0].served.contains(ModelVersion{"analyst", "wall", "7"}));
    m_settings.backendServers["e1"].isDrained = true;
    m_settings.backendServers.erase("e2");
    m_membership.setSettings(m_settings);
    EXPECT_EQ(stateOf("e1"), BackendServerState::Leaving);
    EXPECT_EQ(m_membership.fleet().size(), 3U);
}

TEST_F(MembershipTest, revivesNoServerByAnOutdatedList)
{
    std::vector<HostEntry> hosts = list();
    hosts[0].isLeaving = true;
    m_membership.setHostList(hosts, start + 2s);
    EXPECT_EQ(stateOf("e1"), BackendServerState::Leaving);
    m_membership.setHostList(list(), start + 1s);
    EXPECT_EQ(stateOf("e1"), BackendServerState::Leaving);
    hosts.erase(hosts.begin());
    m_membership.setHostList(hosts, start + 3s);
    EXPECT_EQ(stateOf("e1"), BackendServerState::Dead);
    m_membership.setHostList({}, start + 4s);
    EXPECT_EQ(stateOf("e2"), BackendServerState::Live);
}

TEST_F(MembershipTest, treatsAReplacedHostUnderTheSameAddressAsAnother)
{
    m_membership.recordReply(m_e1, 501, true, start + 1s);
    EXPECT_EQ(stateOf("e1"), BackendServerState::Leaving);
    // The replacement answers before the list shows it; a late reply still comes from the replaced agent.
    m_membership.recordReply(m_e1, 502, false, start + 2s);
    m_membership.recordReply(m_e1, 501, true, start + 3s);
    EXPECT_EQ(m_membership.incarnation(m_e1), 502U);
    EXPECT_EQ(stateOf("e1"), BackendServerState::Live);
    std::vector<HostEntry> hosts = list();
    hosts[0] = {"e1", "10.0.0.1", "a", 12, false};
    m_membership.setHostList(hosts, start + 4s);
    // A list from another host of the platform is more outdated.
    hosts[0] = {"e1", "10.0.0.1", "a", 11, true};
    m_membership.setHostList(hosts, start + 5s);
    EXPECT_EQ(stateOf("e1"), BackendServerState::Live);
    hosts[0] = {"e1", "10.0.0.1", "a", 12, true};
    m_membership.setHostList(hosts, start + 6s);
    EXPECT_EQ(stateOf("e1"), BackendServerState::Leaving);
}

TEST_F(MembershipTest, clearsTheLeavingStateWhenTheListShowsAReplacement)
{
    m_membership.recordReply(m_e1, 501, true, start + 1s);
    std::vector<HostEntry> hosts = list();
    hosts[0].incarnation = 12;
    m_membership.setHostList(hosts, start + 2s);
    EXPECT_EQ(stateOf("e1"), BackendServerState::Live);
}

TEST_F(MembershipTest, skipsASilentServerForABoundedTimeAndKeepsItsRank)
{
    const std::uint64_t version = m_membership.version();
    m_membership.recordTimeout(m_e1, start);
    EXPECT_FALSE(m_membership.isSuspected(m_e1, start));
    Core::TimePoint now = start;
    for (int round = 0; round < 10; ++round) {
        m_membership.recordTimeout(m_e1, now);
        ASSERT_TRUE(m_membership.isSuspected(m_e1, now));
        EXPECT_FALSE(m_membership.isSuspected(m_e1, now + 8s));
        now += 8s;
    }
    EXPECT_EQ(m_membership.version(), version);
    EXPECT_EQ(stateOf("e1"), BackendServerState::Live);
    m_membership.recordTimeout(m_e1, now);
    m_membership.recordReply(m_e1, 11, false, now);
    EXPECT_FALSE(m_membership.isSuspected(m_e1, now));
}

TEST_F(MembershipTest, restoresTheFleetWhenAPartitionOfTwoFailureDomainsHeals)
{
    const std::vector<BackendServer> before = m_membership.fleet();
    Core::TimePoint now = start;
    for (int i = 0; i < 600; ++i) {
        now += 100ms;
        for (const BackendServer &server : before) {
            if (m_membership.isSuspected(server.id, now)) {
                continue;
            }
            if (server.failureDomain == "b") {
                m_membership.recordTimeout(server.id, now);
            } else {
                m_membership.recordReply(server.id, 0, false, now);
            }
        }
    }
    EXPECT_EQ(m_membership.suspected(now).size(), 2U);
    // After the partition ends, the next request after the suspicion (at most 8 s) is answered.
    now += 8s;
    EXPECT_TRUE(m_membership.suspected(now).empty());
    for (const BackendServer &server : before) {
        m_membership.recordReply(server.id, 0, false, now);
    }
    const std::vector<BackendServer> after = m_membership.fleet();
    for (std::size_t i = 0; i < before.size(); ++i) {
        EXPECT_EQ(after[i].id, before[i].id);
        EXPECT_EQ(after[i].state, BackendServerState::Live);
    }
}

TEST(MembershipProperty, ignoresOutdatedReportsInAnyOrder)
{
    EXPECT_TRUE(rc::check("once the newest incarnation was reported, older reports in any order change nothing", [] {
        Settings::InForceSettings settings;
        settings.backendServers["e1"].name = "e1";
        Membership membership{MembershipLimits()};
        membership.setSettings(settings);
        const BackendServerId id = backendServerId("e1");
        // Incarnations are reported in order, mixed with outdated reports of earlier ones.
        const int newest = *rc::gen::inRange(2, 6);
        Core::TimePoint now = start;
        for (int incarnation = 1; incarnation <= newest; ++incarnation) {
            membership.recordReply(id, static_cast<std::uint64_t>(incarnation), false, now);
            membership.setHostList({{"e1", "10.0.0.1", "a", static_cast<std::uint64_t>(incarnation), false}}, now);
            const int count = *rc::gen::inRange(0, 5);
            for (int i = 0; i < count; ++i) {
                now += 10ms;
                const auto old = static_cast<std::uint64_t>(*rc::gen::inRange(1, incarnation + 1));
                if (old == static_cast<std::uint64_t>(incarnation)) {
                    continue;
                }
                if (*rc::gen::arbitrary<bool>()) {
                    membership.recordReply(id, old, *rc::gen::arbitrary<bool>(), now);
                } else {
                    membership.setHostList({{"e1", "10.0.0.1", "a", old, true}}, now);
                }
            }
            RC_ASSERT(membership.incarnation(id) == static_cast<std::uint64_t>(incarnation));
            RC_ASSERT(membership.fleet().at(0).state == BackendServerState::Live);
        }
    }));
}

/// Result of many processes starting at once against the platform's read budget.
struct StartResult
{
    std::uint64_t overBudget = 0;
    Core::TimePoint lastDone;
};

// Each process reads the store twice from its first read time on and retries a refused read after its backoff.
StartResult runConcurrentStart(std::size_t processCount, double readsPerSecond, std::uint64_t seed)
{
    Standin::PlatformState platform;
    platform.setFaults({.readsPerSecond = 2000});
    std::vector<Backoff> backoffs;
    std::multimap<Core::TimePoint, std::size_t> due;
    std::vector<int> readsLeft(processCount, 2);
    for (std::size_t i = 0; i < processCount; ++i) {
        backoffs.emplace_back(BackoffOptions(), seed + i);
        due.emplace(firstStoreReadTime(start, processCount, 2, readsPerSecond, seed * 1'000'003 + i), i);
    }
    StartResult result;
    while (!due.empty()) {
        const auto [now, process] = *due.begin();
        due.erase(due.begin());
        result.lastDone = now;
        if (platform.admitRead(now) == Standin::Admission::Serve) {
            backoffs[process].recordSuccess();
            if (--readsLeft[process] > 0) {
                due.emplace(now + 5ms, process);
            }
        } else {
            backoffs[process].recordFailure(now);
            due.emplace(backoffs[process].notBefore(), process);
        }
    }
    result.overBudget = platform.counts().overBudget;
    return result;
}

TEST(ThunderingHerd, staysInsideTheReadBudgetWhenThreeThousandStartAtOnce)
{
    const StartResult atOnce = runConcurrentStart(3000, 1e9, 1);
    EXPECT_GT(atOnce.overBudget, 1000U);
    RecordProperty("overBudgetAtOnce", std::to_string(atOnce.overBudget));
    RecordProperty("doneAtOnceMilliseconds", std::to_string((atOnce.lastDone - start) / 1ms));
    EXPECT_TRUE(rc::check("no read of the starting processes exceeds the budget, and all are done within 6.1 s", [] {
        const StartResult result = runConcurrentStart(3000, 1000, *rc::gen::inRange<std::uint64_t>(1, 1'000'000));
        RC_ASSERT(result.overBudget == 0U);
        RC_ASSERT(result.lastDone < start + 6100ms);
    }));
}

TEST(StoreBudget, permitsNoMoreThanBurstAndRate)
{
    EXPECT_TRUE(rc::check("in any interval, at most the burst plus the rate times the interval", [] {
        StoreBudget budget(50, 10, start);
        Core::TimePoint now = start;
        int taken = 0;
        const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
        for (const int gap : gaps) {
            now += std::chrono::milliseconds(gap);
            taken += budget.tryConsume(now) ? 1 : 0;
            RC_ASSERT(taken <= 10 + 50 * std::chrono::duration<double>(now - start).count() + 1e-6);
            const Core::TimePoint free = budget.nextFree(now);
            RC_ASSERT(StoreBudget(budget).tryConsume(free));
        }
    }));
}

} // namespace

} // namespace Verbena::Test
