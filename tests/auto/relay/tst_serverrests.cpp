#include <decisions/relay/serverrests.h>

#include <gtest/gtest.h>

namespace Verbena::Decisions {

namespace {

using namespace std::chrono_literals;

constexpr Core::TimePoint start{1h};

// A refusal of another call under way that asked for less must not shorten a server's rest.
TEST(ServerRestsTest, keepsTheLaterEnd)
{
    ServerRests rests;
    EXPECT_TRUE(rests.record("s1", 7, start + 3s, start));
    EXPECT_FALSE(rests.record("s1", 7, start + 1s, start + 100ms));
    EXPECT_EQ(rests.end("s1", start + 2s), std::optional(start + 3s));
    EXPECT_FALSE(rests.record("s1", 7, start + 5s, start + 2s));
    EXPECT_EQ(rests.resting(start + 4s), std::vector<std::string>{"s1"});
    EXPECT_TRUE(rests.resting(start + 5s).empty());
    EXPECT_EQ(rests.end("s1", start + 5s), std::nullopt);
    EXPECT_TRUE(rests.record("s1", 7, start + 8s, start + 6s));
}

// A server that has restarted is idle and has asked for nothing.
TEST(ServerRestsTest, endsWithTheIncarnation)
{
    ServerRests rests;
    rests.record("s1", 7, start + 3s, start);
    rests.updateIncarnation("s1", 0);
    rests.updateIncarnation("s1", 7);
    EXPECT_FALSE(rests.resting(start).empty());
    rests.updateIncarnation("s1", 8);
    EXPECT_TRUE(rests.resting(start).empty());
}

// A number that cannot be meant must not keep a server out for ever.
TEST(ServerRestsTest, boundsARest)
{
    ServerRests rests;
    rests.record("s1", 7, start + 1000h, start);
    EXPECT_TRUE(rests.resting(start + 24h).empty());
}

} // namespace

} // namespace Verbena::Decisions
