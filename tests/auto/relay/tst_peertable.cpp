#include <relay/peertable.h>

#include <gtest/gtest.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Store::StoreTime;

class PeerTableTest : public testing::Test
{
protected:
    PeerTable m_table{"10.0.0.1", 1s};
    Decisions::RandomSource m_random{1};
    Core::TimePoint m_start{};
};

TEST_F(PeerTableTest, prefersThePeerWithTheMostCurrentRecentDigest)
{
    m_table.add("10.0.0.2", m_start);
    m_table.recordDigest("10.0.0.3", StoreTime(5s), m_start);
    m_table.recordDigest("10.0.0.4", StoreTime(7s), m_start);
    m_table.recordDigest("10.0.0.5", std::nullopt, m_start);
    EXPECT_EQ(m_table.mostCurrent(m_random, m_start), "10.0.0.4");
    EXPECT_TRUE(m_table.hasRecentDigest("10.0.0.4", m_start));
    EXPECT_FALSE(m_table.hasRecentDigest("10.0.0.4", m_start + 1s));
    m_table.recordDigest("10.0.0.3", StoreTime(6s), m_start + 500ms);
    EXPECT_EQ(m_table.mostCurrent(m_random, m_start + 1200ms), "10.0.0.3");
}

// Guards against sending requests to lost routers for ever.
TEST_F(PeerTableTest, removesPeersThatWereNotMentionedForLong)
{
    m_table.add("10.0.0.2", m_start);
    m_table.add("10.0.0.3", m_start + 15s);
    EXPECT_EQ(m_table.sample(9, m_random, m_start + 30s), (std::vector<std::string>{"10.0.0.3"}));
    EXPECT_EQ(m_table.mostCurrent(m_random, m_start + 60s), std::nullopt);
}

TEST_F(PeerTableTest, neverContainsItself)
{
    m_table.add("10.0.0.1", m_start);
    m_table.recordDigest("10.0.0.1", StoreTime(9s), m_start);
    EXPECT_TRUE(m_table.sample(9, m_random, m_start).empty());
    EXPECT_EQ(m_table.mostCurrent(m_random, m_start), std::nullopt);
}

TEST_F(PeerTableTest, limitsTheNumberOfPeersAndRemovesExpiredOnes)
{
    for (int number = 0; number < 1000; ++number) {
        m_table.add("10.1." + std::to_string(number / 250) + '.' + std::to_string(number % 250), m_start);
    }
    EXPECT_LE(m_table.sample(1000, m_random, m_start).size(), 256U);
    m_table.add("10.2.0.1", m_start + 20s);
    EXPECT_EQ(m_table.sample(9, m_random, m_start + 20s), (std::vector<std::string>{"10.2.0.1"}));
}

} // namespace

} // namespace Verbena::Relay
