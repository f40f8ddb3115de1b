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

/// A store that says what a test put into it, at once, and that can fall silent.
class PlainStore : public Store::RowSource
{
public:
    std::vector<Store::TableRow> rows;
    std::uint64_t revision = 1;
    bool isSilent = false;
    bool isBusy = false; ///< Turns whoever asks away at once.

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
        if (isBusy) {
            done(Core::Error{Core::ErrorCode::Unavailable, "store", "", "It is busy."});
            return;
        }
        if (isSilent) {
            m_unanswered.push_back(std::move(done));
            return;
        }
        Store::RowPage page{{}, revision, false};
        std::copy_if(rows.begin(), rows.end(), std::back_inserter(page.rows), [after](const Store::TableRow &row) { return row.revision > after; });
        page.answeredAt = storeNow();
        done(std::move(page));
    }

    std::vector<PageCallback> m_unanswered;
};

/// What a router keeps of a table, for others too.
class Keeper : public Store::RowConsumer
{
public:
    explicit Keeper(Store::RowMirror &mirror)
        : m_mirror(mirror)
    {
    }

    void replaceRows(const std::string &table, const Store::RowPage &page) override
    {
        m_mirror.replace(table, page);
        note(page);
    }

    void changeRows(const std::string &table, const Store::RowPage &page) override
    {
        m_mirror.applyChanges(table, page);
        note(page);
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
    void note(const Store::RowPage &page)
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

/// A router as far as it follows one table.
struct Router
{
    Router(EventLoop::Loop &loop, const std::string &address, std::uint64_t seed)
        : peers(std::move(PeerRows::create(loop, address, rowsPort, store, seed, times).value()))
        , keeper(peers->mirror())
        , follower(loop, *peers, "op", 200ms, keeper, times)
        , gossip(std::move(TableGossip::create(loop, Http::Endpoint::parse(address + gossipPort).value(), *peers, times, seed).value()))
    {
        gossip->follow(follower, TableGossip::Urgency::AtOnce);
        keeper.changed = [this] {
            gossip->tellChange();
        };
    }

    Store::FollowTimes times = Store::FollowTimes::within(2s);
    PlainStore store;
    std::unique_ptr<PeerRows> peers;
    Keeper keeper;
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
                router->peers->book().note(address(number), m_loop->now());
            }
        }
        EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_routers[2]->follower.age().has_value(); }));
    }

    std::string address(std::uint64_t number) const
    {
        return m_network + std::to_string(1 + number);
    }

    void pass(std::chrono::milliseconds span)
    {
        const Core::TimePoint end = m_loop->now() + span;
        Verbena::Test::runUntil(*m_loop, [this, end] { return m_loop->now() >= end; });
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    std::string m_network;
    std::vector<std::unique_ptr<Router>> m_routers;
};

// What a router knows grew old as soon as the store turned it away, though others could tell it that nothing had changed.
TEST_F(TableGossipTest, keepsARouterCurrentThatTheStoreTurnsAway)
{
    m_routers[2]->store.isSilent = true;
    std::chrono::milliseconds oldest{0};
    pass(300ms);
    const Core::TimePoint end = m_loop->now() + 5s;
    while (m_loop->now() < end) {
        pass(20ms);
        oldest = std::max(oldest, *m_routers[2]->follower.age());
    }
    EXPECT_LT(oldest, m_routers[2]->times.bound);
    EXPECT_EQ(m_routers[2]->keeper.losses, 0);
}

// Each answer of the store that turned a router away, and each word of the others after it, made it take the store for lost and for regained by turns, and
// believe entries that were removed.
TEST_F(TableGossipTest, takesAStoreForServingThatTurnsOnlyItAway)
{
    m_routers[2]->store.isBusy = true;
    pass(1s);
    const int losses = m_routers[2]->keeper.losses;
    EXPECT_LE(losses, 1);
    pass(5s);
    EXPECT_EQ(m_routers[2]->keeper.losses, losses);
    for (const auto &router : m_routers) {
        router->store.isBusy = true;
    }
    EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_routers[0]->keeper.losses == 1 && m_routers[2]->keeper.losses > 0; }));
}

TEST_F(TableGossipTest, tellsAChangeAtOnceToARouterThatTheStoreTurnsAway)
{
    m_routers[2]->store.isSilent = true;
    pass(1500ms);
    m_routers[0]->store.put("a", "1");
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_routers[0]->keeper.values.contains("a"); }));
    const Core::TimePoint known = m_loop->now();
    ASSERT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_routers[2]->keeper.values.contains("a"); }));
    EXPECT_LT(m_loop->now() - known, 300ms);
}

// Nobody can tell what the store says while it is silent to all, and nobody must think so.
TEST_F(TableGossipTest, knowsThatItGrowsOldWhileTheStoreIsSilentToAll)
{
    for (const auto &router : m_routers) {
        router->store.isSilent = true;
    }
    // A question that waits at the store shows last that it is not heard there.
    pass(m_routers[0]->times.maximumWait + m_routers[0]->times.answerTimeout + 500ms);
    for (const auto &router : m_routers) {
        EXPECT_GT(*router->follower.age(), router->times.bound);
        EXPECT_EQ(router->keeper.losses, 1);
    }
    m_routers[1]->store.isSilent = false;
    m_routers[1]->store.put("a", "1");
    EXPECT_TRUE(Verbena::Test::runUntil(*m_loop, [this] { return m_routers[0]->keeper.values.contains("a") && m_routers[2]->keeper.values.contains("a"); }));
}

} // namespace

} // namespace Verbena::Relay
