#include <decisions/relay/connectionlimit.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace Verbena::Decisions {

namespace {

// However many callers come, connections stay below the limit and leave an eighth of it for calls; idle ones make room for new ones.
RC_GTEST_PROP(ConnectionLimitTest, leavesRoomForNewCallersAndForCalls, ())
{
    const auto descriptors = *rc::gen::inRange<std::uint64_t>(64, 5000);
    const ConnectionLimit limit(descriptors);
    std::uint64_t idle = 0;
    std::uint64_t busy = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(2000, rc::gen::inRange(0, 4));
    for (const int step : steps) {
        const std::uint64_t open = idle + busy;
        if (step == 0 && busy > 0) {
            --busy;
            idle += limit.isCrowded(open) ? 0 : 1;
        } else if (limit.admits(open)) {
            ++busy;
        } else {
            RC_ASSERT(idle == 0U);
        }
        idle -= std::min(idle, limit.excess(idle + busy));
        RC_ASSERT(idle + busy <= descriptors * 7 / 8 + 1);
    }
}

TEST(ConnectionLimitTest, limitsNothingWhereNoDescriptorsAreNamed)
{
    const ConnectionLimit limit(std::nullopt);
    EXPECT_FALSE(limit.isCrowded(1'000'000));
    EXPECT_EQ(limit.excess(1'000'000), 0U);
    EXPECT_TRUE(limit.admits(1'000'000));
}

} // namespace

} // namespace Verbena::Decisions
