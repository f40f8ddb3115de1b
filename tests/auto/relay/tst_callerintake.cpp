#include <decisions/relay/callerintake.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::uint64_t descriptors = 3000;
constexpr milliseconds tick = 100ms;
const Core::TimePoint start{};

// One router that records its load until a time.
struct Router
{
    explicit Router(std::uint64_t seed, std::optional<std::uint64_t> limit = descriptors)
        : intake(limit, seed, start)
    {
    }

    void run(const RouterLoad &load, milliseconds until)
    {
        while (passed < until) {
            passed += tick;
            changes += intake.record(load, start + passed) ? 1 : 0;
            notReady += intake.wantsCallers() ? 0ms : tick;
        }
    }

    CallerIntake intake;
    milliseconds passed{0};
    milliseconds notReady{0};
    int changes = 0;
};

// All routers of a domain fall behind for as long as the day lasts: none pauses for an eighth of the time, most stay, and each pause is one that the balancer
// notices.
RC_GTEST_PROP(CallerIntakeTest, keepsMostOfADomainAndEachRoutersDuty, ())
{
    const auto first = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
    std::vector<Router> routers;
    for (std::uint64_t number = 0; number < 24; ++number) {
        routers.emplace_back(first + number);
    }
    for (milliseconds until = tick; until <= 10min; until += tick) {
        for (Router &router : routers) {
            router.run({600ms, 10, false}, until);
        }
        const auto ready = std::count_if(routers.begin(), routers.end(), [](const Router &router) { return router.intake.wantsCallers(); });
        RC_ASSERT(ready * 2 > static_cast<std::ptrdiff_t>(routers.size()));
    }
    for (const Router &router : routers) {
        RC_ASSERT(router.changes > 0);
        RC_ASSERT(router.notReady * 8 < router.passed);
        RC_ASSERT(router.notReady * 2 >= router.changes * 3000ms);
    }
}

TEST(CallerIntakeTest, wantsCallersAgainOnceItHasCaughtUp)
{
    Router router(0);
    router.run({600ms, 10, false}, 49s);
    ASSERT_FALSE(router.intake.wantsCallers());
    router.run({0ms, 10, false}, 53s);
    EXPECT_TRUE(router.intake.wantsCallers());
    router.run({0ms, 10, false}, 10min);
    EXPECT_EQ(router.changes, 2);
}

// A host whose share of the processor is used up for the rest of each tenth of a second does not fall behind by that, nor does one that stood still once.
TEST(CallerIntakeTest, staysReadyWhileItIsOnlySlowOrWasSuspended)
{
    Router router(0);
    router.run({95ms, descriptors / 2, false}, 5min);
    EXPECT_EQ(router.changes, 0);
    router.run({10s, 10, false}, 5min + tick);
    EXPECT_FALSE(router.intake.isBehind());
}

TEST(CallerIntakeTest, pausesForDescriptorsAndMemory)
{
    Router descriptorsUsedUp(0);
    descriptorsUsedUp.run({0ms, descriptors * 4 / 5, false}, 49s);
    EXPECT_FALSE(descriptorsUsedUp.intake.wantsCallers());
    Router memoryUsedUp(0);
    memoryUsedUp.run({0ms, 10, true}, 49s);
    EXPECT_FALSE(memoryUsedUp.intake.wantsCallers());
}

TEST(CallerIntakeTest, alwaysWantsCallersWhereNoLimitIsNamed)
{
    Router router(0, std::nullopt);
    router.run({1s, 1'000'000, true}, 5min);
    EXPECT_EQ(router.changes, 0);
    EXPECT_TRUE(router.intake.wantsCallers());
}

} // namespace

} // namespace Verbena::Decisions
