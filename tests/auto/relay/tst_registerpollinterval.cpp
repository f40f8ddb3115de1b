#include <decisions/relay/registerpollinterval.h>

#include <gtest/gtest.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

// Thirty routers that poll four times a second read a register of sixty backend servers 120 times a second, although few of the answers contain changes.
TEST(RegisterPollIntervalTest, limitsThePollRateOfAllRoutersTogether)
{
    EXPECT_EQ(registerPollInterval(1), 250ms);
    for (std::uint32_t routers = 1; routers <= 32; ++routers) {
        EXPECT_LE(routers * 1000ms / registerPollInterval(routers), 32) << routers;
    }
    EXPECT_LE(registerPollInterval(100'000), 1s);
}

} // namespace

} // namespace Verbena::Decisions
