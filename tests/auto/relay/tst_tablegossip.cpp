#include <platform/workerfake.h>
#include <relay/tablegossip.h>

#include <gtest/gtest.h>

#include <map>

#include <unistd.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t rowsPort = 7340;
constexpr const char *gossipPort = ":7343";

Store::StoreTime storeNow()
{
    return Store::StoreTime(std::chrono::floor<std::chrono::milliseconds>(Core::BootClock::now().time_since_epoch()));
}

// Store that answers at once with the rows that a test has put into it. It can also become silent or refuse requests.
class PlainStore : public Store::RowSource
{
public:
    std::vector<Store::TableRow> rows;
    std::uint64_t revision = 1;
    bool isSilent = false;
    bool isRefusing = false; ///< Whether each request fails at once.
    std::string omittedKey; ///< Row that is missing from answers about changes, although their revision includes it.

    void readTable(const std::string &, Core::TimePoint, PageCallback done) override
    {
        respond(0, std::move(done));
    }

    void awaitChanges(const std::string &, std::uint64_t after, Core::TimePoint, Core::TimePoint, PageCallback done) override
    {
        respond(after, std::move(done));
    }

    void put(const std::string &key, const std::string &value)
    {
        rows.push_back({key, value, ++revision, false});
    }

private:
    void respond(std::uint64_t after, PageCallback done)
    {
        if (isRefusing) {
            done(Core::Error{Core::ErrorCode::Unavailable, "store", "", "It is busy."});
            return;
        }
        if (isSilent) {
            m_unanswered.push_back(std::move(done));
            return;
        }
        Store::RowPage page{{}, revision, false};
        std::copy_if(rows.begin(), rows.end(), std::back_inserter(page.rows), [this, after](const Store::TableRow &row) {
            return row.revision > after && (after == 0 || row.key != omittedKey);
        });
        page.answeredAt = storeNow();
        done(std::move(page));
    }

    std::vector<PageCallback> m_unanswered;
};

// Copies the rows of a table into a mirror, like a router.
class MirrorConsumer : public Store::RowConsumer
{
public:
    explicit MirrorConsumer(Store::RowMirror &mirror)
        : m_mirror(mirror)
    {
    }

    void replaceRows(const std::string &table, const Store::RowPage &page) override
    {
        m_mirror.replace(table, page);
        recordValues(page);
    }

    void changeRows(const std::string &table, const Store::RowPage &page) override
    {
        m_mirror.applyChanges(table, page);
        recordValues(page);
    }

    void sourceLost(const std::string &, const Core::Error &) override
    {
        ++losses;
    }

    void sourceRegained(const std::string &) override
    {
    }

    void tableVerified(const std::string &table, Store::StoreTime verifiedAt, std::uint64_t coveredRevision) override
    {
        m_mirror.setVerified(table, verifiedAt, coveredRevision);
    }

    void staleAnswerReceived(const std::string &, const Store::StaleAnswer &) override
    {
    }

    std::map<std::string, std::string> values;
    int losses = 0;
    std::function<void()> changed;

private:
    void recordValues(const Store::RowPage &page)
    {
        for (const Store::TableRow &row : page.rows) {
            values[row.key] = row.value;
        }
        if (changed) {
            changed();
        }
    }

    Store::RowMirror &m_mirror;
};

// The part of a router that follows one table.
struct Router
{
    Router(EventLoop::Loop &loop, const std::string &address, std::uint64_t seed)
        : peers(std::move(PeerRowSource::create(loop, address, rowsPort, store, seed, times).value()))
        , consumer(peers->mirror())
        , follower(loop, *peers, "op", 200ms, consumer, times)
        , gossip(std::move(TableGossip::create(loop, Http::Endpoint::parse(address + gossipPort).value(), *peers, times, seed).value()))
    {
        gossip->follow(follower, TableGossip::Urgency::Immediate);
        consumer.changed = [this] {
            gossip->announceChange();
        };
    }

    Store::FollowTimes times = Store::FollowTimes::within(2s);
    PlainStore store;
    std::unique_ptr<PeerRowSource> peers;
    MirrorConsumer consumer;
    Store::TableFollower follower;
    std::unique_ptr<TableGossip> gossip;
};

class TableGossipTest : public testing::Test
{
protected:
    TableGossipTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_network("127.83." + std::to_string(1 + getpid() % 250) + '.')
    {
        for (std::uint64_t number = 0; number < 3; ++number) {
            m_routers.push_back(std::make_unique<Router>(*m_loop, address(number), number + 1));
        }
        for (const auto &router : m_routers) {
            for (std::uint64_t number = 0; number < m_routers.size(); ++number) {
                router->peers->peerTable().add(address(number), m_loop->now());
            }
        }
        EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_routers[2]->follower.age().has_value(); }));
    }

    std::string address(std::uint64_t number) const
    {
        return m_network + std::to_string(1 + number);
    }

    void wait(std::chrono::milliseconds duration)
    {
        const Core::TimePoint end = m_loop->now() + duration;
        Verbena::Test::runUntil(*m_loop, [this, end] { return m_loop->now() >= end; });
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    std::string m_network;
    std::vector<std::unique_ptr<Router>> m_routers;
};

// Guards against an outdated copy on a router that the store does not answer although digests of other routers show that nothing has changed.
TEST_F(TableGossipTest, keepsARouterCurrentThatTheStoreDoesNotAnswer)
{
    m_routers[2]->store.isSilent = true;
    std::chrono::milliseconds oldest{0};
    wait(300ms);
    const Core::TimePoint end = m_loop->now() + 5s;
    while (m_loop->now() < end) {
        wait(20ms);
        oldest = std::max(oldest, *m_routers[2]->follower.age());
    }
    EXPECT_LT(oldest, m_routers[2]->times.bound);
    EXPECT_EQ(m_routers[2]->consumer.losses, 0);
}

// Guards against a router that alternately treats the store as lost, after each refusal, and as regained, after each digest of another router, and so uses
// entries that were removed.
TEST_F(TableGossipTest, treatsAStoreThatRefusesOnlyItAsAvailable)
{
    m_routers[2]->store.isRefusing = true;
    wait(1s);
    const int losses = m_routers[2]->consumer.losses;
    EXPECT_LE(losses, 1);
    wait(5s);
    EXPECT_EQ(m_routers[2]->consumer.losses, losses);
    for (const auto &router : m_routers) {
        router->store.isRefusing = true;
    }
    EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_routers[0]->consumer.losses == 1 && m_routers[2]->consumer.losses > 0; }));
}

TEST_F(TableGossipTest, sendsAChangeAtOnceToARouterThatTheStoreDoesNotAnswer)
{
    m_routers[2]->store.isSilent = true;
    wait(1500ms);
    m_routers[0]->store.put("a", "1");
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_routers[0]->consumer.values.contains("a"); }));
    const Core::TimePoint known = m_loop->now();
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_routers[2]->consumer.values.contains("a"); }));
    EXPECT_LT(m_loop->now() - known, 300ms);
}

// While the store answers no router, no copy may be treated as current.
TEST_F(TableGossipTest, reportsARisingAgeWhileTheStoreAnswersNoRouter)
{
    for (const auto &router : m_routers) {
        router->store.isSilent = true;
    }
    // A pending long poll is the last request to detect that the store does not answer.
    wait(m_routers[0]->times.maximumWait + m_routers[0]->times.answerTimeout + 500ms);
    for (const auto &router : m_routers) {
        EXPECT_GT(*router->follower.age(), router->times.bound);
        EXPECT_EQ(router->consumer.losses, 1);
    }
    m_routers[1]->store.isSilent = false;
    m_routers[1]->store.put("a", "1");
    EXPECT_TRUE(
        Verbena::Test::runUntil(*m_loop, [this] { return m_routers[0]->consumer.values.contains("a") && m_routers[2]->consumer.values.contains("a"); }));
}

// Guards against a router that counts a change as received although an answer lacked its row, and never asks for it again.
TEST_F(TableGossipTest, correctsARouterThatMissedAChange)
{
    m_routers[2]->store.omittedKey = "a";
    const Core::TimePoint changed = m_loop->now();
    for (const auto &router : m_routers) {
        router->store.put("a", "1");
    }
    EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_routers[2]->consumer.values.contains("a"); }));
    EXPECT_LT(m_loop->now() - changed, m_routers[2]->times.bound);
}

// One digest that named a time in the far future left its receiver, and by its digests all others, without an age for good.
TEST_F(TableGossipTest, timeInTheFutureIsBelievedByAllRouters)
{
    const auto sender = Wire::DatagramSocket::bind(
        *m_loop, Http::Endpoint::parse(address(3) + gossipPort).value().address, [](const sockaddr_in &, const verbena::wire::Envelope &) {});
    const Store::TableDigest digest = m_routers[0]->follower.digest();
    verbena::wire::Envelope message;
    verbena::wire::TableDigest &entry = *message.mutable_table_digests()->add_tables();
    entry.set_table(digest.table);
    entry.set_changed_revision(digest.changedRevision);
    entry.set_covered_revision(digest.coveredRevision);
    entry.set_verified_at_ms(Store::latestStoreTime);
    entry.set_content_hash(digest.contentHash);
    EXPECT_TRUE(sender.value()->send(Http::Endpoint::parse(address(0) + gossipPort).value().address, message));
    wait(2s);
    for (const auto &router : m_routers) {
        EXPECT_LT(router->follower.age().value_or(1h), 2s);
    }
}

// A peer that said of every revision that its history is gone was asked again at once, without end.
TEST_F(TableGossipTest, asksAPeerWithoutHistoryOnceMore)
{
    const std::string peer = m_network + "9";
    Verbena::Test::WorkerFake rows(
        *m_loop,
        [](const auto &, const auto &) { return Verbena::Test::WorkerScript{"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"}; },
        peer + ':' + std::to_string(rowsPort));
    const auto socket = std::move(Wire::DatagramSocket::bind(*m_loop, Http::Endpoint::parse(peer + gossipPort).value().address, [](auto &, auto &) {}).value());
    verbena::wire::Envelope message;
    verbena::wire::TableDigest &digest = *message.mutable_table_digests()->add_tables();
    digest.set_table("op");
    digest.set_changed_revision(1000);
    digest.set_covered_revision(1000);
    ASSERT_TRUE(socket->send(Http::Endpoint::parse(address(0) + gossipPort).value().address, message));
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [&rows] { return !rows.heads().empty(); }));
    wait(500ms);
    EXPECT_LE(rows.heads().size(), 2U);
}

} // namespace

} // namespace Verbena::Relay
