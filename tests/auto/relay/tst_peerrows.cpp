#include <platform/workerfake.h>
#include <relay/peerrows.h>

#include <gtest/gtest.h>

#include <optional>

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
        m_served->mirror().applyChanges("op", {{{"a", "2", 8, false}, {"b", "", 9, true}}, 9, false});
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
    m_refused->book().note(m_network + "1", m_loop->now());
    const auto page = follow(5);
    ASSERT_TRUE(page) << page.error().message;
    EXPECT_EQ(page.value().revision, 9U);
    ASSERT_EQ(page.value().rows.size(), 2U);
    EXPECT_EQ(page.value().rows[0].value, "2");
    EXPECT_TRUE(page.value().rows[1].isDeleted);
}

TEST_F(PeerRowsTest, takesNothingOldFromAPeer)
{
    m_refused->book().note(m_network + "1", m_loop->now());
    EXPECT_FALSE(follow(9));
    EXPECT_FALSE(follow(12));
}

TEST_F(PeerRowsTest, failsAsTheStoreDoesWithoutPeers)
{
    m_refused->book().note(m_network + "2", m_loop->now());
    const auto page = follow(5);
    ASSERT_FALSE(page);
    EXPECT_EQ(page.error().step, "store");
}

/// A store that answers at once what a test wants.
class AnsweringStore : public Store::RowSource
{
public:
    Store::RowPage page;
    int questions = 0;

    void readTable(const std::string &, Core::TimePoint, PageCallback done) override
    {
        ++questions;
        done(page);
    }

    void awaitChanges(const std::string &, std::uint64_t, Core::TimePoint, Core::TimePoint, PageCallback done) override
    {
        ++questions;
        done(page);
    }
};

// A router that the store answers, and one that asks it in place of the store.
class FreshRowsTest : public testing::Test
{
protected:
    FreshRowsTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_network("127.78." + std::to_string(1 + getpid() % 250) + '.')
        , m_elected(std::move(PeerRows::create(*m_loop, m_network + "1", port, m_store, 1).value()))
        , m_asking(std::move(PeerRows::create(*m_loop, m_network + "2", port, m_refusing, 2).value()))
    {
        m_store.page = {{{"a", "1", 3, false}}, 7, false};
        m_store.page.answeredAt = Store::StoreTime(100s);
        m_elected->mirror().replace("op", {m_store.page.rows, 3, false});
    }

    // The store's word, taken as by a follower.
    void hear()
    {
        const auto take = [this](const Core::Result<Store::RowPage> &page) {
            m_elected->mirror().setVerified("op", *page.value().answeredAt, page.value().revision);
        };
        m_elected->awaitChanges("op", 3, m_loop->now(), m_loop->now() + 10s, take);
    }

    void ask(std::uint64_t after, std::chrono::milliseconds wait)
    {
        m_answer.reset();
        m_asking->awaitFresh(m_network + "1", "op", after, m_loop->now() + wait, [this](Core::Result<Store::RowPage> page) { m_answer = std::move(page); });
    }

    Core::Result<Store::RowPage> answer()
    {
        EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_answer.has_value(); }));
        return *m_answer;
    }

    static constexpr std::uint16_t port = 7340;

    std::unique_ptr<EventLoop::Loop> m_loop;
    std::string m_network;
    AnsweringStore m_store;
    RefusingStore m_refusing;
    std::unique_ptr<PeerRows> m_elected;
    std::unique_ptr<PeerRows> m_asking;
    std::optional<Core::Result<Store::RowPage>> m_answer;
};

TEST_F(FreshRowsTest, takesWhatAnElectedRouterKnowsAsTheStoresWord)
{
    hear();
    ask(3, 0ms);
    const auto page = answer();
    ASSERT_TRUE(page);
    // As far as the store has spoken, although nothing of this table changed since.
    EXPECT_EQ(page.value().revision, 7U);
    EXPECT_TRUE(page.value().rows.empty());
    EXPECT_FALSE(page.value().isFromPeer);
}

TEST_F(FreshRowsTest, hearsOfAChangeAsSoonAsTheElectedRouterDoes)
{
    hear();
    ask(7, 30s);
    m_store.page = {{{"a", "2", 9, false}}, 9, false};
    m_store.page.answeredAt = Store::StoreTime(100s);
    m_elected->mirror().applyChanges("op", m_store.page);
    hear();
    const auto page = answer();
    ASSERT_TRUE(page);
    ASSERT_EQ(page.value().rows.size(), 1U);
    EXPECT_EQ(page.value().rows.front().value, "2");
}

// The routers that are not elected hear of new weights from one that is; how old they are must come with them.
TEST_F(FreshRowsTest, hearsWhenAChangeWasMadeAndWhatTheStoresClockSays)
{
    m_store.page.answeredAt = Store::StoreTime(100s);
    hear();
    ask(7, 30s);
    m_store.page.rows = {{"a", "2", 9, false, Store::StoreTime(99s)}};
    m_store.page.revision = 9;
    m_elected->mirror().applyChanges("op", m_store.page);
    hear();
    const auto page = answer();
    ASSERT_TRUE(page);
    ASSERT_EQ(page.value().rows.size(), 1U);
    EXPECT_EQ(page.value().rows.front().committedAfter, Store::StoreTime(99s));
    ASSERT_TRUE(page.value().clock.has_value());
    EXPECT_GE(page.value().clock->storeTime, Store::StoreTime(100s));
    EXPECT_FALSE(page.value().answeredAt.has_value());
}

// An elected router that is cut off from the store must not keep others from what it says.
TEST_F(FreshRowsTest, takesNothingFromARouterThatHasNotHeardOfTheStoreLately)
{
    ask(3, 0ms);
    EXPECT_FALSE(answer());
    hear();
    ask(7, 30s);
    EXPECT_FALSE(answer());
}

// An answer that is older than what is known was taken for the store's word of the present, and others were told that nothing had changed.
TEST_F(FreshRowsTest, takesNothingFromARouterThatHearsOnlyThePast)
{
    hear();
    const Core::TimePoint end = m_loop->now() + 2500ms;
    m_store.page.revision = 5;
    while (m_loop->now() < end) {
        m_store.page.answeredAt = *m_store.page.answeredAt + 100ms;
        m_elected->awaitChanges("op", 7, m_loop->now(), m_loop->now() + 10s, [](const Core::Result<Store::RowPage> &) {});
        const Core::TimePoint next = m_loop->now() + 100ms;
        Verbena::Test::runUntil(*m_loop, [this, next] { return m_loop->now() >= next; });
    }
    ask(7, 0ms);
    EXPECT_FALSE(answer());
}

// A router that stood still took what it had heard before for news of the present, as its clock had stood still with it.
TEST_F(FreshRowsTest, takesNothingFromARouterThatKnowsThatTheStoresClockWentOn)
{
    m_elected->mirror().setVerified("op", Store::StoreTime(95s), 7);
    m_elected->awaitChanges("other", 3, m_loop->now(), m_loop->now() + 10s, [](const Core::Result<Store::RowPage> &) {});
    ask(7, 0ms);
    EXPECT_FALSE(answer());
}

TEST_F(FreshRowsTest, takesNothingFromARouterThatKnowsLess)
{
    hear();
    ask(8, 0ms);
    EXPECT_FALSE(answer());
}

// Whoever missed two changes of a row gets it once, and must not take the first one for as young as the last.
TEST(RowMirrorTest, datesARowByTheFirstChangeThatTheAskerMissed)
{
    Store::RowMirror mirror;
    mirror.replace("op", {{{"a", "1", 3, false}}, 3, false});
    mirror.applyChanges("op", {{{"a", "2", 4, false, Store::StoreTime(10s)}}, 4, false});
    mirror.applyChanges("op", {{{"a", "3", 5, false, Store::StoreTime(20s)}}, 5, false});
    EXPECT_EQ(mirror.changesSince("op", 4).rows.at(0).committedAfter, Store::StoreTime(20s));
    EXPECT_EQ(mirror.changesSince("op", 3).rows.at(0).committedAfter, Store::StoreTime(10s));
    EXPECT_EQ(mirror.changesSince("op", 0).rows.at(0).committedAfter, std::nullopt);
    // Read again as a whole: the row is the same, and so are its dates.
    mirror.replace("op", {{{"a", "3", 5, false}}, 7, false});
    EXPECT_EQ(mirror.changesSince("op", 0).rows.at(0).committedAfter, std::nullopt);
    for (std::uint64_t revision = 8; revision < 16; ++revision) {
        mirror.applyChanges("op", {{{"a", "4", revision, false, Store::StoreTime(30s)}}, revision, false});
    }
    EXPECT_EQ(mirror.changesSince("op", 7).rows.at(0).committedAfter, std::nullopt);
    EXPECT_EQ(mirror.changesSince("op", 12).rows.at(0).committedAfter, Store::StoreTime(30s));
}

TEST(RowMirrorTest, saysThatHistoryIsLostBeforeItsFirstWholeReading)
{
    Store::RowMirror mirror;
    mirror.replace("op", {{{"a", "1", 3, false}}, 5, false});
    EXPECT_TRUE(mirror.changesSince("op", 4).isHistoryLost);
    EXPECT_FALSE(mirror.changesSince("op", 5).isHistoryLost);
    EXPECT_EQ(mirror.changesSince("op", 0).rows.size(), 1U);
    EXPECT_EQ(mirror.changesSince("other", 0).revision, 0U);
}

} // namespace

} // namespace Verbena::Relay
