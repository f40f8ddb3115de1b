#include <platform/workerfake.h>
#include <relay/peerrows.h>

#include <gtest/gtest.h>

#include <unistd.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;

/// A store that turns this host away.
class RefusingStore : public Store::RowSource
{
public:
    void readTable(const std::string &, Core::TimePoint, PageCallback done) override
    {
        done(failure());
    }

    void awaitChanges(const std::string &, std::uint64_t, Core::TimePoint, Core::TimePoint, PageCallback done) override
    {
        done(failure());
    }

private:
    static Core::Error failure()
    {
        return {Core::ErrorCode::Unavailable, "store", "", "It turns this host away."};
    }
};

class PeerRowsTest : public testing::Test
{
protected:
    PeerRowsTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_network("127.77." + std::to_string(1 + getpid() % 250) + '.')
        , m_served(std::move(PeerRows::create(*m_loop, m_network + "1", port, m_store, 1).value()))
        , m_refused(std::move(PeerRows::create(*m_loop, m_network + "2", port, m_store, 2).value()))
    {
        m_served->mirror().replace("op", {{{"a", "1", 3, false}, {"b", "1", 5, false}}, 5, false});
        m_served->mirror().change("op", {{{"a", "2", 8, false}, {"b", "", 9, true}}, 9, false});
    }

    Core::Result<Store::RowPage> follow(std::uint64_t after)
    {
        std::optional<Core::Result<Store::RowPage>> result;
        m_refused->awaitChanges("op", after, m_loop->now(), m_loop->now() + 10s, [&result](Core::Result<Store::RowPage> page) { result = std::move(page); });
        EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [&result] { return result.has_value(); }));
        return std::move(*result);
    }

    static constexpr std::uint16_t port = 7340;

    std::unique_ptr<EventLoop::Loop> m_loop;
    std::string m_network;
    RefusingStore m_store;
    std::unique_ptr<PeerRows> m_served;
    std::unique_ptr<PeerRows> m_refused;
};

TEST_F(PeerRowsTest, learnsFromAPeerWhatTheStoreDoesNotSay)
{
    m_refused->addPeer(m_network + "1");
    const auto page = follow(5);
    ASSERT_TRUE(page) << page.error().message;
    EXPECT_EQ(page.value().revision, 9U);
    ASSERT_EQ(page.value().rows.size(), 2U);
    EXPECT_EQ(page.value().rows[0].value, "2");
    EXPECT_TRUE(page.value().rows[1].isDeleted);
}

TEST_F(PeerRowsTest, takesNothingOldFromAPeer)
{
    m_refused->addPeer(m_network + "1");
    EXPECT_FALSE(follow(9));
    EXPECT_FALSE(follow(12));
}

TEST_F(PeerRowsTest, failsAsTheStoreDoesWithoutPeers)
{
    m_refused->addPeer(m_network + "2");
    const auto page = follow(5);
    ASSERT_FALSE(page);
    EXPECT_EQ(page.error().step, "store");
}

TEST(RowMirrorTest, saysThatHistoryIsLostBeforeItsFirstWholeReading)
{
    Store::RowMirror mirror;
    mirror.replace("op", {{{"a", "1", 3, false}}, 5, false});
    EXPECT_TRUE(mirror.since("op", 4).isHistoryLost);
    EXPECT_FALSE(mirror.since("op", 5).isHistoryLost);
    EXPECT_EQ(mirror.since("op", 0).rows.size(), 1U);
    EXPECT_EQ(mirror.since("other", 0).revision, 0U);
}

} // namespace

} // namespace Verbena::Relay
