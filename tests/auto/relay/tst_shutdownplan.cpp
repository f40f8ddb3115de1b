#include <decisions/relay/shutdownplan.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const Core::TimePoint start = Core::TimePoint() + 1h;
const std::string route = "r";

StoppingRequest request(bool isRepeatable, milliseconds elapsed = 0ms)
{
    return {route, isRepeatable, start + 1h, elapsed};
}

ShutdownPlan plan(milliseconds grace)
{
    return {start, start, 2900ms, grace};
}

void learn(RunTimes &times, milliseconds took, int count)
{
    for (int number = 0; number < count; ++number) {
        times.record(route, took, start - 1min);
    }
}

TEST(ShutdownPlanTest, servesAnyRequestWhoseDeadlineLiesBeforeTheEnd)
{
    RunTimes times;
    learn(times, 10min, 64);
    EXPECT_FALSE(plan(8s).isExpectedToEnd(request(true), times, start));
    StoppingRequest soonOver = request(false);
    soonOver.deadline = start + 7s;
    EXPECT_TRUE(plan(8s).isExpectedToEnd(soonOver, times, start));
}

TEST(ShutdownPlanTest, servesWhatNothingIsKnownOf)
{
    EXPECT_TRUE(plan(8s).isExpectedToEnd(request(false), RunTimes(), start));
}

// A cut is cheaper for requests that may be repeated, so that more of them are tried.
TEST(ShutdownPlanTest, takesMoreRiskForRequestsThatMayBeRepeated)
{
    RunTimes times;
    for (int number = 0; number < 10; ++number) {
        learn(times, 300ms, 5);
        learn(times, 20s, 1);
    }
    EXPECT_TRUE(plan(8s).isExpectedToEnd(request(true), times, start));
    EXPECT_FALSE(plan(8s).isExpectedToEnd(request(false), times, start));
}

// A stop took requests of a route whose latest answers had all taken longer than was left.
TEST(ShutdownPlanTest, takesRequestsWhoseWorkHasJustBecomeSlower)
{
    RunTimes times;
    learn(times, 300ms, 58);
    for (int number = 0; number < 6; ++number) {
        times.record(route, 20s, start - 1s + 100ms * number);
    }
    EXPECT_FALSE(plan(8s).isExpectedToEnd(request(true), times, start));
    EXPECT_FALSE(plan(8s).isExpectedToEnd(request(false), times, start));
}

TEST(ShutdownPlanTest, judgesAStreamThatHasBegunByItsRest)
{
    RunTimes times;
    learn(times, 10s, 64);
    EXPECT_FALSE(plan(8s).isExpectedToEnd(request(false), times, start));
    EXPECT_TRUE(plan(8s).isExpectedToEnd(request(false, 9s), times, start));
}

TEST(ShutdownPlanTest, forgetsWhatItLearnedLongAgo)
{
    RunTimes times;
    learn(times, 10s, 64);
    learn(times, 100ms, 64);
    EXPECT_TRUE(plan(8s).isExpectedToEnd(request(false), times, start));
    learn(times, 10s, 64);
    EXPECT_EQ(times.fractionAbove(route, 0ms, 1s, start + 1h), 0);
}

// What runs for longer than anything took before, while nothing ends, shows that work takes longer now.
TEST(ShutdownPlanTest, noticesThatNothingEndsAnyMore)
{
    RunTimes times;
    learn(times, 1ms, 64);
    EXPECT_TRUE(plan(8s).isExpectedToEnd(request(false), times, start));
    times.setRunning({{route, start - 2s}, {route, start - 1s}, {route, start}});
    EXPECT_FALSE(plan(8s).isExpectedToEnd(request(true), times, start));
}

TEST(ShutdownPlanTest, servesARouteOnWhichOneCallIsStuck)
{
    RunTimes times;
    for (int number = 0; number < 20; ++number) {
        times.record(route, 300ms, start - 100ms * number);
    }
    times.setRunning({{route, start - 2s}, {route, start - 100ms}});
    EXPECT_TRUE(plan(8s).isExpectedToEnd(request(false), times, start));
}

// Where the work is known, what is sent ends in time even if it takes a quarter longer than before, and nothing else is refused.
RC_GTEST_PROP(ShutdownPlanTest, sendsWhatEndsInTime, ())
{
    const milliseconds grace(*rc::gen::inRange(1000, 20'000));
    const milliseconds work(*rc::gen::inRange(1, 20'000));
    const ShutdownPlan stop = plan(grace);
    const Core::TimePoint now = start + milliseconds(*rc::gen::inRange(0, 20'000));
    RunTimes times;
    learn(times, work, *rc::gen::inRange(1, 100));
    const bool isSent = stop.isExpectedToEnd(request(*rc::gen::arbitrary<bool>()), times, now);
    const bool endsInTime = now < stop.unsentEnd() && now + work * 5 / 4 + 100ms <= stop.giveUpTime();
    RC_ASSERT(!isSent || now + work * 5 / 4 <= stop.giveUpTime());
    RC_ASSERT(isSent || !endsInTime);
}

// More time never turns a request away, nor does that it may be repeated.
RC_GTEST_PROP(ShutdownPlanTest, servesMoreWithMoreTime, ())
{
    RunTimes times;
    for (const int took : *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20'000))) {
        learn(times, milliseconds(took), 1);
    }
    std::vector<RunningCall> running;
    for (const int age : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20'000))) {
        running.push_back({route, start - milliseconds(age)});
    }
    times.setRunning(running);
    const milliseconds grace(*rc::gen::inRange(1000, 20'000));
    const milliseconds elapsed(*rc::gen::inRange(0, 5000));
    const bool isSent = plan(grace).isExpectedToEnd(request(false, elapsed), times, start);
    RC_ASSERT(!isSent || plan(grace + 5s).isExpectedToEnd(request(false, elapsed), times, start));
    RC_ASSERT(!isSent || plan(grace).isExpectedToEnd(request(true, elapsed), times, start));
}

// The parts of any grace period follow one another, and the process ends within it.
RC_GTEST_PROP(ShutdownPlanTest, endsWithinAnyGrace, ())
{
    const milliseconds grace(*rc::gen::inRange(1000, 600'000));
    const milliseconds late(*rc::gen::inRange(0, 10'000));
    const ShutdownPlan stop(start + late, start, 2900ms, grace);
    RC_ASSERT(stop.noticeEnd() <= stop.unsentEnd());
    RC_ASSERT(stop.unsentEnd() < stop.giveUpTime());
    RC_ASSERT(stop.giveUpTime() < stop.end());
    RC_ASSERT(stop.end() < start + grace);
    RC_ASSERT(stop.giveUpTime() >= start + grace * 5 / 6);
}

} // namespace

} // namespace Verbena::Decisions
