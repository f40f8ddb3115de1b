#include <relay/parttimes.h>

#include <gtest/gtest.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;

// A stream that was late by a pause could not be told from one that began late.
TEST(PartTimesTest, keepsTheLongestPause)
{
    constexpr Core::TimePoint start{1h};
    PartTimes times;
    EXPECT_EQ(times.longestGap(), std::nullopt);
    times.recordPart(start);
    EXPECT_EQ(times.longestGap(), std::nullopt);
    times.recordPart(start + 450ms);
    times.recordPart(start + 500ms);
    EXPECT_EQ(times.longestGap(), std::optional(450ms));
}

} // namespace

} // namespace Verbena::Relay
