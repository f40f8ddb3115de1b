#include <platform/workerfake.h>
#include <relay/peerrowsource.h>
#include <store/tablesize.h>

#include <gtest/gtest.h>

#include <verbena.pb.h>

#include <optional>

#include <unistd.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;

// Store that refuses this host's requests.
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
        return {Core::ErrorCode::Unavailable, "store", "", "The store refuses requests of this host."};
    }
};

class PeerRowSourceTest : public testing::Test
{
protected:
    PeerRowSourceTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_network("127.77." + std::to_string(1 + getpid() % 250) + '.')
        , m_served(std::move(PeerRowSource::create(*m_loop, m_network + "1", port, m_store, 1).value()))
        , m_unserved(std::move(PeerRowSource::create(*m_loop, m_network + "2", port, m_store, 2).value()))
    {
        m_served->mirror().replace("op", {{{"a", "1", 3, false}, {"b", "1", 5, false}}, 5, false});
        m_served->mirror().applyChanges("op", {{{"a", "2", 8, false}, {"b", "", 9, true}}, 9, false});
    }

    Core::Result<Store::RowPage> follow(std::uint64_t after)
    {
        std::optional<Core::Result<Store::RowPage>> result;
        m_unserved->awaitChanges("op", after, m_loop->now(), m_loop->now() + 10s, [&result](Core::Result<Store::RowPage> page) { result = std::move(page); });
        EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [&result] { return result.has_value(); }));
        return std::move(*result);
    }

    static constexpr std::uint16_t port = 7340;

    std::unique_ptr<EventLoop::Loop> m_loop;
    std::string m_network;
    RefusingStore m_store;
    std::unique_ptr<PeerRowSource> m_served;
    std::unique_ptr<PeerRowSource> m_unserved;
};

TEST_F(PeerRowSourceTest, returnsRowsOfAPeerIfTheStoreRefuses)
{
    m_unserved->peerTable().add(m_network + "1", m_loop->now());
    const auto page = follow(5);
    ASSERT_TRUE(page) << page.error().message;
    EXPECT_EQ(page.value().revision, 9U);
    ASSERT_EQ(page.value().rows.size(), 2U);
    EXPECT_EQ(page.value().rows[0].value, "2");
    EXPECT_TRUE(page.value().rows[1].isDeleted);
}

TEST_F(PeerRowSourceTest, ignoresOldRowsOfAPeer)
{
    m_unserved->peerTable().add(m_network + "1", m_loop->now());
    EXPECT_FALSE(follow(9));
    EXPECT_FALSE(follow(12));
}

TEST_F(PeerRowSourceTest, returnsTheStoresErrorWithoutPeers)
{
    m_unserved->peerTable().add(m_network + "2", m_loop->now());
    const auto page = follow(5);
    ASSERT_FALSE(page);
    EXPECT_EQ(page.error().step, "store");
}

// Rows of an answer that had been cut between two of them were taken for all changes.
TEST_F(PeerRowSourceTest, rejectsRowsWithoutALength)
{
    verbena::wire::SettingsPush push;
    push.set_covered_revision(9);
    push.add_rows()->set_path("a");
    Verbena::Test::WorkerFake peer(
        *m_loop,
        [bytes = push.SerializeAsString()](const auto &, const auto &) {
            return Verbena::Test::WorkerScript{"HTTP/1.1 200 OK\r\n\r\n" + bytes, Verbena::Test::WorkerScript::End::Close};
        },
        m_network + "3:" + std::to_string(port));
    m_unserved->peerTable().add(m_network + "3", m_loop->now());
    EXPECT_FALSE(follow(5));
}

// A clock that stood before a time that the store had named was believed; lower readings count, so that no age was known any more.
TEST_F(PeerRowSourceTest, peersClockThatLiesBeforeItsTimesIsBelieved)
{
    std::string answer;
    Verbena::Test::WorkerFake peer(
        *m_loop, [&answer](const auto &, const auto &) { return Verbena::Test::WorkerScript{answer}; }, m_network + "3:" + std::to_string(port));
    m_unserved->peerTable().add(m_network + "3", m_loop->now());
    for (const bool isRowLater : {false, true}) {
        verbena::wire::SettingsPush push;
        push.set_covered_revision(9);
        push.set_store_now_ms(2);
        push.set_verified_at_ms(isRowLater ? 2 : 1'000'000);
        verbena::wire::SettingsRow &row = *push.add_rows();
        row.set_path("a");
        row.set_committed_after_ms(isRowLater ? 1'000'000 : 2);
        const std::string bytes = push.SerializeAsString();
        answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes.size()) + "\r\n\r\n" + bytes;
        const auto page = follow(5);
        ASSERT_TRUE(page) << page.error().message;
        EXPECT_FALSE(page.value().clock.has_value());
        EXPECT_FALSE(page.value().verifiedAt.has_value());
        EXPECT_FALSE(page.value().rows.at(0).committedAfter.has_value());
    }
}

// Store that answers at once with the page that a test sets.
class AnsweringStore : public Store::RowSource
{
public:
    Store::RowPage page;
    int requests = 0;

    void readTable(const std::string &, Core::TimePoint, PageCallback done) override
    {
        ++requests;
        done(page);
    }

    void awaitChanges(const std::string &, std::uint64_t, Core::TimePoint, Core::TimePoint, PageCallback done) override
    {
        ++requests;
        done(page);
    }
};

// Tests a router that the store answers, and another one that sends its requests to that router instead of the store.
class AwaitFreshTest : public testing::Test
{
protected:
    AwaitFreshTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_network("127.78." + std::to_string(1 + getpid() % 250) + '.')
        , m_elected(std::move(PeerRowSource::create(*m_loop, m_network + "1", port, m_store, 1).value()))
        , m_requester(std::move(PeerRowSource::create(*m_loop, m_network + "2", port, m_refusing, 2).value()))
    {
        m_store.page = {{{"a", "1", 3, false}}, 7, false};
        m_store.page.answeredAt = Store::StoreTime(100s);
        m_elected->mirror().replace("op", {m_store.page.rows, 3, false});
    }

    // Receives an answer of the store like a follower.
    void receiveStoreAnswer()
    {
        const auto handle = [this](const Core::Result<Store::RowPage> &page) {
            m_elected->mirror().setVerified("op", *page.value().answeredAt, page.value().revision);
        };
        m_elected->awaitChanges("op", 3, m_loop->now(), m_loop->now() + 10s, handle);
    }

    void sendRequest(std::uint64_t after, std::chrono::milliseconds wait)
    {
        m_answer.reset();
        m_requester->awaitFresh(m_network + "1", "op", after, m_loop->now() + wait, [this](Core::Result<Store::RowPage> page) { m_answer = std::move(page); });
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
    std::unique_ptr<PeerRowSource> m_elected;
    std::unique_ptr<PeerRowSource> m_requester;
    std::optional<Core::Result<Store::RowPage>> m_answer;
};

TEST_F(AwaitFreshTest, returnsAnElectedRoutersRowsAsTheStoresAnswer)
{
    receiveStoreAnswer();
    sendRequest(3, 0ms);
    const auto page = answer();
    ASSERT_TRUE(page);
    // The revision of the store's answer, although this table has not changed since revision 3.
    EXPECT_EQ(page.value().revision, 7U);
    EXPECT_TRUE(page.value().rows.empty());
    EXPECT_FALSE(page.value().isFromPeer);
}

TEST_F(AwaitFreshTest, receivesAChangeAsSoonAsTheElectedRouterDoes)
{
    receiveStoreAnswer();
    sendRequest(7, 30s);
    m_store.page = {{{"a", "2", 9, false}}, 9, false};
    m_store.page.answeredAt = Store::StoreTime(100s);
    m_elected->mirror().applyChanges("op", m_store.page);
    receiveStoreAnswer();
    const auto page = answer();
    ASSERT_TRUE(page);
    ASSERT_EQ(page.value().rows.size(), 1U);
    EXPECT_EQ(page.value().rows.front().value, "2");
}

// Routers that are not elected receive new weights from an elected one, which has to send their age too.
TEST_F(AwaitFreshTest, receivesCommitTimesAndTheStoresClock)
{
    m_store.page.answeredAt = Store::StoreTime(100s);
    receiveStoreAnswer();
    sendRequest(7, 30s);
    m_store.page.rows = {{"a", "2", 9, false, Store::StoreTime(99s)}};
    m_store.page.revision = 9;
    m_elected->mirror().applyChanges("op", m_store.page);
    receiveStoreAnswer();
    const auto page = answer();
    ASSERT_TRUE(page);
    ASSERT_EQ(page.value().rows.size(), 1U);
    EXPECT_EQ(page.value().rows.front().committedAfter, Store::StoreTime(99s));
    ASSERT_TRUE(page.value().clock.has_value());
    EXPECT_GE(page.value().clock->storeTime, Store::StoreTime(100s));
    EXPECT_FALSE(page.value().answeredAt.has_value());
}

// An elected router that is disconnected from the store must not prevent others from receiving the store's changes.
TEST_F(AwaitFreshTest, rejectsARouterWithoutARecentAnswerOfTheStore)
{
    sendRequest(3, 0ms);
    EXPECT_FALSE(answer());
    receiveStoreAnswer();
    sendRequest(7, 30s);
    EXPECT_FALSE(answer());
}

// Guards against treating a stale answer of the store as current and reporting to others that nothing has changed.
TEST_F(AwaitFreshTest, rejectsARouterThatReceivesOnlyStaleAnswers)
{
    receiveStoreAnswer();
    const Core::TimePoint end = m_loop->now() + 2500ms;
    m_store.page.revision = 5;
    while (m_loop->now() < end) {
        m_store.page.answeredAt = *m_store.page.answeredAt + 100ms;
        m_elected->awaitChanges("op", 7, m_loop->now(), m_loop->now() + 10s, [](const Core::Result<Store::RowPage> &) {});
        const Core::TimePoint next = m_loop->now() + 100ms;
        Verbena::Test::runUntil(*m_loop, [this, next] { return m_loop->now() >= next; });
    }
    sendRequest(7, 0ms);
    EXPECT_FALSE(answer());
}

// Guards against a router that was suspended and treats earlier answers as current because its clock was stopped too.
TEST_F(AwaitFreshTest, rejectsARouterWhoseCopyIsOldByTheStoresClock)
{
    m_elected->mirror().setVerified("op", Store::StoreTime(95s), 7);
    m_elected->awaitChanges("other", 3, m_loop->now(), m_loop->now() + 10s, [](const Core::Result<Store::RowPage> &) {});
    sendRequest(7, 0ms);
    EXPECT_FALSE(answer());
}

TEST_F(AwaitFreshTest, rejectsARouterAtAnEarlierRevision)
{
    receiveStoreAnswer();
    sendRequest(8, 0ms);
    EXPECT_FALSE(answer());
}

// A requester that missed two changes of a row receives it once and must not assume that the first change is as recent as the last.
TEST(RowMirrorTest, setsTheCommitTimeOfTheFirstMissedChange)
{
    Store::RowMirror mirror;
    mirror.replace("op", {{{"a", "1", 3, false}}, 3, false});
    mirror.applyChanges("op", {{{"a", "2", 4, false, Store::StoreTime(10s)}}, 4, false});
    mirror.applyChanges("op", {{{"a", "3", 5, false, Store::StoreTime(20s)}}, 5, false});
    EXPECT_EQ(mirror.changesSince("op", 4).rows.at(0).committedAfter, Store::StoreTime(20s));
    EXPECT_EQ(mirror.changesSince("op", 3).rows.at(0).committedAfter, Store::StoreTime(10s));
    EXPECT_EQ(mirror.changesSince("op", 0).rows.at(0).committedAfter, std::nullopt);
    // After the whole table is read again, the row and its commit times are the same.
    mirror.replace("op", {{{"a", "3", 5, false}}, 7, false});
    EXPECT_EQ(mirror.changesSince("op", 0).rows.at(0).committedAfter, std::nullopt);
    for (std::uint64_t revision = 8; revision < 16; ++revision) {
        mirror.applyChanges("op", {{{"a", "4", revision, false, Store::StoreTime(30s)}}, revision, false});
    }
    EXPECT_EQ(mirror.changesSince("op", 7).rows.at(0).committedAfter, std::nullopt);
    EXPECT_EQ(mirror.changesSince("op", 12).rows.at(0).committedAfter, Store::StoreTime(30s));
}

// Tombstones with long keys would take ever more memory, as only their number was bounded.
TEST(RowMirrorTest, removesTombstonesBeyondTheBoundOfATable)
{
    Store::RowMirror mirror;
    mirror.replace("op", {{{"a", "1", 1, false}}, 1, false});
    const std::uint64_t last = 2 * Store::maximumTableBytes / (1024 * 1024);
    for (std::uint64_t revision = 2; revision <= last; ++revision) {
        mirror.applyChanges("op", {{{std::string(1024 * 1024, 'k') + std::to_string(revision), "", revision, true}}, revision, false});
    }
    EXPECT_TRUE(mirror.changesSince("op", 1).isHistoryLost);
    EXPECT_EQ(mirror.changesSince("op", 0).rows.size(), 1U);
}

TEST(RowMirrorTest, reportsLostHistoryBeforeTheFirstWholeTable)
{
    Store::RowMirror mirror;
    mirror.replace("op", {{{"a", "1", 3, false}}, 5, false});
    EXPECT_TRUE(mirror.changesSince("op", 4).isHistoryLost);
    EXPECT_FALSE(mirror.changesSince("op", 5).isHistoryLost);
    EXPECT_EQ(mirror.changesSince("op", 0).rows.size(), 1U);
    EXPECT_EQ(mirror.changesSince("other", 0).revision, 0U);
}

// Each of some thousand connections could make a router hold 8 MiB of a body that no request for rows has.
TEST_F(PeerRowSourceTest, refusesRequestsWithBodies)
{
    Verbena::Test::CallerFake caller(*m_loop, Http::Endpoint::parse(m_network + "1:" + std::to_string(port)).value());
    caller.send("POST /rows?table=op&after=5 HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n");
    EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [&caller] { return !caller.received().empty(); }));
    EXPECT_TRUE(caller.received().starts_with("HTTP/1.1 413"));
}

} // namespace

} // namespace Verbena::Relay
