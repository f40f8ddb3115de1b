#include <store/tablefollower.h>
#include <store/tablesize.h>

#include <eventloop/loop.h>
#include <eventloop/timer.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>

namespace Verbena::Store {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Store whose answers a test gives one by one.
class ScriptedSource : public RowSource
{
public:
    struct Request
    {
        bool isWhole = false;
        std::uint64_t after = 0;
        Core::TimePoint waitEnd{}; ///< Time until which the store waits for a change; not set for a whole table.
        PageCallback done;
    };

    void readTable(const std::string &, Core::TimePoint, PageCallback done) override
    {
        m_requests.push_back({true, 0, {}, std::move(done)});
    }

    void awaitChanges(const std::string &, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint, PageCallback done) override
    {
        m_requests.push_back({false, revision, waitEnd, std::move(done)});
    }

    bool hasRequest() const
    {
        return !m_requests.empty();
    }

    Request take()
    {
        Request request = std::move(m_requests.front());
        m_requests.pop_front();
        return request;
    }

private:
    std::deque<Request> m_requests;
};

// Keeps the rows like a router.
class TestMirror : public RowConsumer
{
public:
    void replaceRows(const std::string &, const RowPage &page) override
    {
        m_rows.clear();
        changeRows("", page);
    }

    void changeRows(const std::string &, const RowPage &page) override
    {
        for (const TableRow &row : page.rows) {
            m_commitTimes[row.key] = row.committedAfter;
            if (row.isDeleted) {
                m_rows.erase(row.key);
            } else {
                m_rows[row.key] = row.value;
            }
        }
    }

    void sourceLost(const std::string &, const Core::Error &) override
    {
        ++m_losses;
    }

    void sourceRegained(const std::string &) override
    {
        ++m_regains;
    }

    void tableVerified(const std::string &, StoreTime verifiedAt, std::uint64_t) override
    {
        m_verifiedAt = verifiedAt;
    }

    void staleAnswerReceived(const std::string &, const StaleAnswer &) override
    {
    }

    const std::map<std::string, std::string> &rows() const
    {
        return m_rows;
    }

    // Returns the store time after which the row was written; nothing if unknown.
    std::optional<StoreTime> committedAfter(const std::string &key) const
    {
        return m_commitTimes.at(key);
    }

    int losses() const
    {
        return m_losses;
    }

    int regains() const
    {
        return m_regains;
    }

private:
    std::map<std::string, std::string> m_rows;
    std::map<std::string, std::optional<StoreTime>> m_commitTimes;
    std::optional<StoreTime> m_verifiedAt;
    int m_losses = 0;
    int m_regains = 0;
};

class TableFollowerTest : public testing::Test
{
protected:
    TableFollowerTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_follower(std::make_unique<TableFollower>(*m_loop, m_source, "t", 0ms, m_mirror))
    {
    }

    ScriptedSource::Request request()
    {
        while (!m_source.hasRequest()) {
            m_loop->runOnce();
        }
        return m_source.take();
    }

    static RowPage page(std::uint64_t revision, std::vector<TableRow> rows)
    {
        return {std::move(rows), revision, false};
    }

    // Returns an answer of the store itself at \a time of its clock.
    static RowPage answeredPage(milliseconds time, std::uint64_t revision, std::vector<TableRow> rows)
    {
        RowPage answer = page(revision, std::move(rows));
        answer.answeredAt = StoreTime(time);
        return answer;
    }

    void wait(milliseconds duration)
    {
        bool isOver = false;
        EventLoop::Timer timer(*m_loop, [&isOver] { isOver = true; });
        timer.startAt(m_loop->now() + duration);
        while (!isOver) {
            m_loop->runOnce();
        }
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    ScriptedSource m_source;
    TestMirror m_mirror;
    std::unique_ptr<TableFollower> m_follower;
};

const Core::Error unavailable{Core::ErrorCode::Unavailable, "store", "", "The store is unavailable."};

// A bound of no time, or of a few milliseconds, made periods and pauses zero.
TEST(FollowTimesTest, boundOfNoTimeLeavesNoPauses)
{
    for (const auto bound : {0ms, 1ms, 5ms, 2000ms}) {
        const FollowTimes times = FollowTimes::within(bound);
        for (const auto time : {times.answerTimeout, times.maximumRetryInterval, times.peerAnswerTimeout, times.sharedMaximumWait, times.digestPeriod}) {
            EXPECT_GE(time, 10ms);
        }
    }
}

TEST_F(TableFollowerTest, readsTheTableAndThenItsChanges)
{
    request().done(page(5, {{"a", "1", 3, false}, {"b", "1", 5, false}}));
    auto next = request();
    EXPECT_FALSE(next.isWhole);
    EXPECT_EQ(next.after, 5U);
    next.done(page(7, {{"a", "2", 6, false}, {"b", "", 7, true}}));
    EXPECT_EQ(m_mirror.rows(), (std::map<std::string, std::string>{{"a", "2"}}));
    EXPECT_EQ(request().after, 7U);
}

TEST_F(TableFollowerTest, rejectsStaleAnswers)
{
    request().done(page(5, {{"a", "new", 5, false}}));
    request().done({RowPage{{}, 0, true}});
    auto whole = request();
    EXPECT_TRUE(whole.isWhole);
    whole.done(page(4, {{"a", "old", 4, false}}));
    EXPECT_EQ(m_mirror.rows().at("a"), "new");
    auto again = request();
    EXPECT_TRUE(again.isWhole);
    again.done(page(9, {{"a", "newer", 9, false}}));
    EXPECT_EQ(m_mirror.rows().at("a"), "newer");
}

TEST_F(TableFollowerTest, keepsRowsWhileTheStoreIsUnavailableAndReportsItOnce)
{
    request().done(page(5, {{"a", "1", 5, false}}));
    for (int number = 0; number < 3; ++number) {
        request().done(unavailable);
    }
    EXPECT_EQ(m_mirror.losses(), 1);
    EXPECT_EQ(m_mirror.rows().size(), 1U);
    request().done(page(6, {{"b", "1", 6, false}}));
    EXPECT_EQ(m_mirror.regains(), 1);
    EXPECT_EQ(m_mirror.rows().size(), 2U);
}

// A silent store drops requests, even at the time when it recovers. A long poll sent then would hang until its deadline while changes are missed, so only
// the store's own answer shows that it is back.
TEST_F(TableFollowerTest, sendsRequestsWithoutWaitUntilTheStoreItselfAnswers)
{
    RowPage fromPeer = page(5, {{"a", "1", 5, false}});
    fromPeer.isFromPeer = true;
    request().done(fromPeer);
    EXPECT_EQ(m_mirror.rows().at("a"), "1");
    EXPECT_EQ(m_mirror.losses(), 0);
    auto first = request();
    EXPECT_LE(first.waitEnd, m_loop->now());
    fromPeer = page(6, {{"a", "2", 6, false}});
    fromPeer.isFromPeer = true;
    first.done(fromPeer);
    EXPECT_EQ(m_mirror.rows().at("a"), "2");
    auto second = request();
    EXPECT_LE(second.waitEnd, m_loop->now());
    second.done(page(7, {{"a", "3", 7, false}}));
    EXPECT_GT(request().waitEnd, m_loop->now() + 1s);
}

// Guards against requests at full speed to a store whose whole-table answers are older than the start of its history.
TEST_F(TableFollowerTest, pausesBetweenTableReadsWhileHistoryIsLostRepeatedly)
{
    int requests = 0;
    const Core::TimePoint end = m_loop->now() + 500ms;
    while (m_loop->now() < end) {
        auto received = request();
        ++requests;
        received.done(received.isWhole ? page(5, {}) : RowPage{{}, 0, true});
    }
    EXPECT_LT(requests, 30);
}

TEST_F(TableFollowerTest, setsNoCommitTimeOfRowsInTheFirstRead)
{
    request().done(answeredPage(50s, 5, {{"a", "1", 3, false}}));
    EXPECT_EQ(m_mirror.committedAfter("a"), std::nullopt);
}

// The store answers a long poll as soon as something changes, so the change is as recent as the answer, however long the wait was.
TEST_F(TableFollowerTest, setsCommitTimeByTheAnswerToALongPoll)
{
    request().done(answeredPage(50s, 5, {}));
    request().done(answeredPage(53s, 6, {{"a", "1", 6, false}}));
    ASSERT_TRUE(m_mirror.committedAfter("a").has_value());
    EXPECT_LE(*m_mirror.committedAfter("a"), StoreTime(53s));
    EXPECT_GT(*m_mirror.committedAfter("a"), StoreTime(53s) - 500ms);
}

// While no long poll was pending, a change may have been made at any time since the last answer.
TEST_F(TableFollowerTest, setsCommitTimeBeforeAGapBetweenLongPolls)
{
    request().done(answeredPage(50s, 5, {}));
    auto lost = request();
    wait(300ms);
    lost.done(unavailable);
    request().done(answeredPage(50s + 400ms, 6, {{"a", "1", 6, false}}));
    ASSERT_TRUE(m_mirror.committedAfter("a").has_value());
    EXPECT_LE(*m_mirror.committedAfter("a"), StoreTime(50s + 100ms));
    EXPECT_GE(*m_mirror.committedAfter("a"), StoreTime(50s));
}

// An answer may arrive seconds late if its host was suspended or the link is slow. Changes that the store commits meanwhile are in the next answer, which is
// immediate.
TEST_F(TableFollowerTest, setsCommitTimeOfAChangeMadeWhileTheLastAnswerWasInTransit)
{
    request().done(answeredPage(50s, 5, {}));
    const auto late = request();
    wait(400ms);
    late.done(answeredPage(50s + 20ms, 6, {{"other", "1", 6, false}}));
    const auto made = StoreTime(50s + 50ms);
    request().done(answeredPage(50s + 420ms, 7, {{"a", "1", 7, false}}));
    ASSERT_TRUE(m_mirror.committedAfter("a").has_value());
    EXPECT_LE(*m_mirror.committedAfter("a"), made);
}

TEST_F(TableFollowerTest, setsCommitTimeOfNewRowsInARereadTableByThePreviousAnswer)
{
    request().done(answeredPage(50s, 5, {{"a", "1", 5, false}}));
    request().done(RowPage{{}, 0, true});
    request().done(answeredPage(60s, 9, {{"a", "1", 5, false}, {"b", "1", 9, false}}));
    EXPECT_EQ(m_mirror.committedAfter("a"), std::nullopt);
    EXPECT_EQ(m_mirror.committedAfter("b"), StoreTime(50s));
}

// Another process has set the commit times of its rows; the time at which they arrive says nothing.
TEST_F(TableFollowerTest, keepsCommitTimesOfAnotherProcess)
{
    request().done(answeredPage(50s, 5, {}));
    TableRow row{"a", "1", 6, false};
    row.committedAfter = StoreTime(51s);
    request().done(page(7, {row, {"b", "1", 7, false}}));
    EXPECT_EQ(m_mirror.committedAfter("a"), StoreTime(51s));
    EXPECT_EQ(m_mirror.committedAfter("b"), std::nullopt);
}

// A time in the far future that came with rows of another process left the table without an age for good.
TEST_F(TableFollowerTest, timeInTheFutureOutlivesThePageThatNamedIt)
{
    request().done(answeredPage(50s, 5, {}));
    RowPage odd = page(6, {{"a", "1", 6, false}});
    odd.isFromPeer = true;
    odd.verifiedAt = StoreTime(milliseconds(latestStoreTime - 1));
    EXPECT_TRUE(m_follower->offer(odd, 5));
    EXPECT_EQ(m_mirror.rows().at("a"), "1");
    EXPECT_LT(m_follower->age().value_or(1h), 10s);
}

TEST_F(TableFollowerTest, ignoresAnAnswerAfterItsDestruction)
{
    auto late = request();
    m_follower.reset();
    late.done(page(5, {{"a", "1", 5, false}}));
    EXPECT_TRUE(m_mirror.rows().empty());
}

// A store, or another process, could let a process hold ever more by pages that are each within the limit of a call.
TEST_F(TableFollowerTest, refusesPagesBeyondTheBoundOfATable)
{
    const std::string value(4 * 1024 * 1024, 'v');
    request().done(page(1, {{"kept", "1", 1, false}}));
    std::size_t held = 0;
    for (std::uint64_t revision = 2; revision < 32 && m_mirror.losses() == 0; ++revision) {
        request().done(page(revision, {{"key" + std::to_string(revision), value, revision, false}}));
        held = m_mirror.rows().size() * value.size();
    }
    EXPECT_EQ(m_mirror.losses(), 1);
    EXPECT_LE(held, maximumTableBytes);
    const std::uint64_t revision = m_follower->revision();
    const auto refused = m_follower->offer(page(revision + 1, {{"peer", value, revision + 1, false}}), revision);
    EXPECT_FALSE(refused);
    EXPECT_EQ(m_follower->revision(), revision);
    EXPECT_EQ(m_mirror.rows().at("kept"), "1");
    EXPECT_FALSE(m_mirror.rows().contains("peer"));
    request().done(page(revision + 2, {{"key2", value, revision + 1, false}, {"key2", "", revision + 2, true}, {"new", value, revision + 2, false}}));
    EXPECT_TRUE(m_mirror.rows().contains("new"));
    EXPECT_EQ(m_mirror.regains(), 1);
}

// Whatever happens to single answers, the mirror finally holds the same rows as a reader of the whole table.
TEST_F(TableFollowerTest, matchesANaiveReaderAfterAnyFailures)
{
    EXPECT_TRUE(rc::check([this] {
        ScriptedSource source;
        TestMirror mirror;
        const TableFollower follower(*m_loop, source, "t", 0ms, mirror);
        std::map<std::string, std::pair<std::string, std::uint64_t>> table;
        std::vector<TableRow> history;
        std::uint64_t revision = 0;
        std::uint64_t compacted = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
        auto all = [&] {
            std::vector<TableRow> rows;
            rows.reserve(table.size());
            for (const auto &[key, entry] : table) {
                rows.push_back({key, entry.first, entry.second, false});
            }
            return page(revision, std::move(rows));
        };
        auto respond = [&](ScriptedSource::Request received) {
            if (received.isWhole) {
                received.done(all());
                return;
            }
            if (received.after < compacted) {
                received.done(RowPage{{}, 0, true});
                return;
            }
            std::vector<TableRow> rows;
            std::copy_if(history.begin(), history.end(), std::back_inserter(rows), [&](const TableRow &row) { return row.revision > received.after; });
            received.done(page(revision, std::move(rows)));
        };
        const auto next = [&] {
            while (!source.hasRequest()) {
                m_loop->runOnce();
            }
            return source.take();
        };
        for (const int step : steps) {
            const std::string key(1, static_cast<char>('a' + step % 3));
            ++revision;
            if (step == 0) {
                table.erase(key);
                history.push_back({key, "", revision, true});
            } else {
                table[key] = {std::to_string(revision), revision};
                history.push_back({key, std::to_string(revision), revision, false});
            }
            if (step == 4) {
                compacted = revision;
            } else if (step == 5) {
                next().done(page(revision / 2, {}));
            } else {
                respond(next());
            }
        }
        for (int number = 0; number < 3; ++number) {
            respond(next());
        }
        RC_ASSERT(mirror.rows().size() == table.size());
        for (const auto &[rowKey, entry] : table) {
            RC_ASSERT(mirror.rows().at(rowKey) == entry.first);
        }
    }));
}

} // namespace

} // namespace Verbena::Store
