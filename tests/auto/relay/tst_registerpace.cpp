#include <decisions/relay/registerpace.h>

#include <gtest/gtest.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

// Thirty routers that each ask four times a second read a register of sixty backend servers 120 times a second, although it says nothing new to most.
TEST(RegisterPaceTest, keepsTheQuestionsOfAllRoutersTogetherBounded)
{
    EXPECT_EQ(registerPause(1), 250ms);
    for (std::uint32_t routers = 1; routers <= 32; ++routers) {
        EXPECT_LE(routers * 1000ms / registerPause(routers), 32) << routers;
    }
    EXPECT_LE(registerPause(100'000), 1s);
}

} // namespace

} // namespace Verbena::Decisions
