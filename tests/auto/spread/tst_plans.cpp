#include <decisions/spread/feedpoller.h>
#include <decisions/spread/pushbudget.h>
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
                poller.noteHeard(now);
                if (poller.nextPoll() <= now) {
                    poller.noteStarted(now);
                    ++polls;
                }
            }
        }
        // Eight a second, a little fewer where the least interval of each process shows.
        EXPECT_GT(polls, 600U) << count;
        EXPECT_LT(polls, 1000U) << count;
    }
}

TEST(FeedPollerTest, processThatHearsNobodyPollsForItself)
{
    FeedPoller poller(FeedPollerOptions{}, 7, start);
    poller.setProcessCount(1'000'000);
    std::size_t polls = 0;
    for (Core::TimePoint now = start; now < start + 200s; now += 100ms) {
        if (poller.nextPoll() <= now) {
            EXPECT_GE(now, start + 20s);
            poller.noteStarted(now);
            ++polls;
        }
    }
    EXPECT_GT(polls, 5U);
    EXPECT_LT(polls, 40U);
}

TEST(FeedPollerTest, waitsAfterAFailure)
{
    FeedPoller poller(FeedPollerOptions{}, 7, start);
    poller.requestBy(start);
    poller.noteStarted(start);
    poller.noteFailed(start + 2s);
    EXPECT_GE(poller.nextPoll(), start + 3s);
}

TEST(RecoveryPlanTest, spreadsTheReadsOfAHerd)
{
    std::vector<Core::TimePoint> moments;
    for (std::uint64_t seed = 0; seed < 3000; ++seed) {
        moments.push_back(RecoveryPlan(RecoveryPlanOptions{}, seed, start).snapshotMoment().value());
    }
    std::sort(moments.begin(), moments.end());
    EXPECT_GE(moments.front(), start + 300ms);
    EXPECT_LE(moments.back(), start + 2300ms);
    // No tenth of a second sees more reads than the platform's 2,000 a second allow.
    for (std::size_t i = 0; i + 200 < moments.size(); ++i) {
        EXPECT_GT(moments[i + 200] - moments[i], 100ms);
    }
}

TEST(RecoveryPlanTest, readsTheTableOnlyWithoutASnapshot)
{
    RecoveryPlan plan(RecoveryPlanOptions{}, 1, start);
    EXPECT_FALSE(plan.tableMoment().has_value());
    plan.noteSnapshotStarted();
    EXPECT_FALSE(plan.snapshotMoment().has_value());
    plan.noteSnapshotFailed(false, start + 1s);
    EXPECT_LE(plan.tableMoment().value(), start + 31s);
    plan.noteRecovered();
    EXPECT_FALSE(plan.tableMoment().has_value());
    EXPECT_FALSE(plan.snapshotMoment().has_value());
}

TEST(PushBudgetTest, bindsToTheRateAfterTheBurst)
{
    PushBudget budget(1000, 5000, start);
    std::size_t served = 0;
    for (Core::TimePoint now = start; now < start + 10s; now += 10ms) {
        if (budget.isOpen(now)) {
            budget.spend(500, now);
            served += 500;
        }
    }
    EXPECT_GE(served, 14'000U);
    EXPECT_LE(served, 15'500U);
}

} // namespace

} // namespace Verbena::Decisions
