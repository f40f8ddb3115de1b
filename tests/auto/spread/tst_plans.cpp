#include <decisions/spread/bytebudget.h>
#include <decisions/spread/feedpoller.h>
#include <decisions/spread/recoveryplan.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

constexpr Core::TimePoint start{1h};

TEST(FeedPollerTest, commonRateDoesNotDependOnTheNumberOfProcesses)
{
    for (const std::size_t count : {20UL, 200UL, 2000UL}) {
        std::vector<FeedPoller> pollers;
        for (std::size_t i = 0; i < count; ++i) {
            pollers.emplace_back(FeedPollerOptions{}, i, start);
            pollers.back().setProcessCount(count);
        }
        std::size_t polls = 0;
        for (Core::TimePoint now = start; now < start + 100s; now += 10ms) {
            for (FeedPoller &poller : pollers) {
                poller.recordPeerMessage(now);
                if (poller.nextPoll() <= now) {
                    poller.markStarted(now);
                    ++polls;
                }
            }
        }
        // Eight a second, or slightly fewer where the minimum interval of each process takes effect.
        EXPECT_GT(polls, 600U) << count;
        EXPECT_LT(polls, 1000U) << count;
    }
}

TEST(FeedPollerTest, processWithoutPeersPollsOnItsOwn)
{
    FeedPoller poller(FeedPollerOptions{}, 7, start);
    poller.setProcessCount(1'000'000);
    std::size_t polls = 0;
    for (Core::TimePoint now = start; now < start + 200s; now += 100ms) {
        if (poller.nextPoll() <= now) {
            EXPECT_GE(now, start + 20s);
            poller.markStarted(now);
            ++polls;
        }
    }
    EXPECT_GT(polls, 5U);
    EXPECT_LT(polls, 40U);
}

TEST(FeedPollerTest, waitsAfterAFailure)
{
    FeedPoller poller(FeedPollerOptions{}, 7, start);
    poller.requestPollBy(start);
    poller.markStarted(start);
    poller.handleFailure(start + 2s);
    EXPECT_GE(poller.nextPoll(), start + 3s);
}

TEST(RecoveryPlanTest, spreadsTheReadsOfManyStartingProcesses)
{
    std::vector<Core::TimePoint> times;
    for (std::uint64_t seed = 0; seed < 3000; ++seed) {
        times.push_back(RecoveryPlan(RecoveryPlanOptions{}, seed, start).snapshotReadAt().value());
    }
    std::sort(times.begin(), times.end());
    EXPECT_GE(times.front(), start + 300ms);
    EXPECT_LE(times.back(), start + 2300ms);
    // The platform allows 2,000 reads a second, so there are at most 200 in any tenth of a second.
    for (std::size_t i = 0; i + 200 < times.size(); ++i) {
        EXPECT_GT(times[i + 200] - times[i], 100ms);
    }
}

TEST(RecoveryPlanTest, readsTheTableOnlyWithoutASnapshot)
{
    RecoveryPlan plan(RecoveryPlanOptions{}, 1, start);
    EXPECT_FALSE(plan.tableReadAt().has_value());
    plan.markSnapshotStarted();
    EXPECT_FALSE(plan.snapshotReadAt().has_value());
    plan.handleSnapshotFailure(false, start + 1s);
    EXPECT_LE(plan.tableReadAt().value(), start + 31s);
    plan.markRecovered();
    EXPECT_FALSE(plan.tableReadAt().has_value());
    EXPECT_FALSE(plan.snapshotReadAt().has_value());
}

TEST(ByteBudgetTest, limitsToTheRateAfterTheBurst)
{
    ByteBudget budget(1000, 5000, start);
    std::size_t consumed = 0;
    for (Core::TimePoint now = start; now < start + 10s; now += 10ms) {
        if (budget.mayConsume(now)) {
            budget.consume(500, now);
            consumed += 500;
        }
    }
    EXPECT_GE(consumed, 14'000U);
    EXPECT_LE(consumed, 15'500U);
}

} // namespace

} // namespace Verbena::Decisions
