#include <store/tablefollower.h>

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

/// A store whose answers a test gives one by one.
class ScriptedSource : public RowSource
{
public:
    struct Question
    {
        bool isWhole = false;
        std::uint64_t after = 0;
        Core::TimePoint waitEnd{}; ///< Of a question for changes.
        PageCallback done;
    };

    void readTable(const std::string &, Core::TimePoint, PageCallback done) override
    {
        m_questions.push_back({true, 0, {}, std::move(done)});
    }

    void awaitChanges(const std::string &, std::uint64_t revision, Core::TimePoint waitEnd, Core::TimePoint, PageCallback done) override
    {
        m_questions.push_back({false, revision, waitEnd, std::move(done)});
    }

    bool hasQuestion() const
    {
        return !m_questions.empty();
    }

    Question take()
    {
        Question question = std::move(m_questions.front());
        m_questions.pop_front();
        return question;
    }

private:
    std::deque<Question> m_questions;
};

/// Keeps the rows as a router would.
class Mirror : public RowConsumer
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
            m_dates[row.key] = row.committedAfter;
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
        ++m_returns;
    }

    void tableVerified(const std::string &, StoreTime verifiedAt, std::uint64_t) override
    {
        m_verifiedAt = verifiedAt;
    }

    void answerRefused(const std::string &, const RefusedAnswer &) override
    {
    }

    const std::map<std::string, std::string> &rows() const
    {
        return m_rows;
    }

    /// After which moment of the store's clock the row was written, as far as that is known.
    std::optional<StoreTime> dateOf(const std::string &key) const
    {
        return m_dates.at(key);
    }

    int losses() const
    {
        return m_losses;
    }

    int returns() const
    {
        return m_returns;
    }

private:
    std::map<std::string, std::string> m_rows;
    std::map<std::string, std::optional<StoreTime>> m_dates;
    std::optional<StoreTime> m_verifiedAt;
    int m_losses = 0;
    int m_returns = 0;
};

class TableFollowerTest : public testing::Test
{
protected:
    TableFollowerTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_follower(std::make_unique<TableFollower>(*m_loop, m_source, "t", 0ms, m_mirror))
    {
    }

    ScriptedSource::Question question()
    {
        while (!m_source.hasQuestion()) {
            m_loop->runOnce();
        }
        return m_source.take();
    }

    static RowPage page(std::uint64_t revision, std::vector<TableRow> rows)
    {
        return {std::move(rows), revision, false};
    }

    // As the store itself answers it at \a moment of its clock.
    static RowPage pageSaid(milliseconds moment, std::uint64_t revision, std::vector<TableRow> rows)
    {
        RowPage said = page(revision, std::move(rows));
        said.saidAt = StoreTime(moment);
        return said;
    }

    void pass(milliseconds span)
    {
        bool isOver = false;
        EventLoop::Timer timer(*m_loop, [&isOver] { isOver = true; });
        timer.startAt(m_loop->now() + span);
        while (!isOver) {
            m_loop->runOnce();
        }
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    ScriptedSource m_source;
    Mirror m_mirror;
    std::unique_ptr<TableFollower> m_follower;
};

const Core::Error away{Core::ErrorCode::Unavailable, "store", "", "It is away."};

TEST_F(TableFollowerTest, readsTheTableAndThenItsChanges)
{
    question().done(page(5, {{"a", "1", 3, false}, {"b", "1", 5, false}}));
    auto next = question();
    EXPECT_FALSE(next.isWhole);
    EXPECT_EQ(next.after, 5U);
    next.done(page(7, {{"a", "2", 6, false}, {"b", "", 7, true}}));
    EXPECT_EQ(m_mirror.rows(), (std::map<std::string, std::string>{{"a", "2"}}));
    EXPECT_EQ(question().after, 7U);
}

TEST_F(TableFollowerTest, doesNotBelieveAnAnswerFromThePast)
{
    question().done(page(5, {{"a", "new", 5, false}}));
    question().done({RowPage{{}, 0, true}});
    auto whole = question();
    EXPECT_TRUE(whole.isWhole);
    whole.done(page(4, {{"a", "old", 4, false}}));
    EXPECT_EQ(m_mirror.rows().at("a"), "new");
    auto again = question();
    EXPECT_TRUE(again.isWhole);
    again.done(page(9, {{"a", "newer", 9, false}}));
    EXPECT_EQ(m_mirror.rows().at("a"), "newer");
}

TEST_F(TableFollowerTest, keepsWhatItKnowsWhileTheStoreIsAwayAndSaysSoOnce)
{
    question().done(page(5, {{"a", "1", 5, false}}));
    for (int number = 0; number < 3; ++number) {
        question().done(away);
    }
    EXPECT_EQ(m_mirror.losses(), 1);
    EXPECT_EQ(m_mirror.rows().size(), 1U);
    question().done(page(6, {{"b", "1", 6, false}}));
    EXPECT_EQ(m_mirror.returns(), 1);
    EXPECT_EQ(m_mirror.rows().size(), 2U);
}

// A store that went silent swallows questions, also in the moment of its return. A long one asked there would hang until its deadline while changes are
// made, so only the store's own answer shows that it is back.
TEST_F(TableFollowerTest, asksShortlyUntilTheStoreItselfAnswers)
{
    RowPage told = page(5, {{"a", "1", 5, false}});
    told.isSecondHand = true;
    question().done(told);
    EXPECT_EQ(m_mirror.rows().at("a"), "1");
    EXPECT_EQ(m_mirror.losses(), 0);
    auto first = question();
    EXPECT_LE(first.waitEnd, m_loop->now());
    told = page(6, {{"a", "2", 6, false}});
    told.isSecondHand = true;
    first.done(told);
    EXPECT_EQ(m_mirror.rows().at("a"), "2");
    auto second = question();
    EXPECT_LE(second.waitEnd, m_loop->now());
    second.done(page(7, {{"a", "3", 7, false}}));
    EXPECT_GT(question().waitEnd, m_loop->now() + 1s);
}

// A store that answers reads from before its history begins was asked as fast as it could answer.
TEST_F(TableFollowerTest, pausesBetweenReadingsOfTheTableWhileHistoryIsLostAgainAndAgain)
{
    int questions = 0;
    const Core::TimePoint end = m_loop->now() + 500ms;
    while (m_loop->now() < end) {
        auto asked = question();
        ++questions;
        asked.done(asked.isWhole ? page(5, {}) : RowPage{{}, 0, true});
    }
    EXPECT_LT(questions, 30);
}

TEST_F(TableFollowerTest, doesNotDateWhatStoodInTheTableBeforeItWasReadFirst)
{
    question().done(pageSaid(50s, 5, {{"a", "1", 3, false}}));
    EXPECT_EQ(m_mirror.dateOf("a"), std::nullopt);
}

// A change that comes while the follower waits for it is as young as the answer, however long the wait was: the store tells those who wait at once.
TEST_F(TableFollowerTest, datesAChangeByTheAnswerThatTellsItWhileItWaits)
{
    question().done(pageSaid(50s, 5, {}));
    question().done(pageSaid(53s, 6, {{"a", "1", 6, false}}));
    ASSERT_TRUE(m_mirror.dateOf("a").has_value());
    EXPECT_LE(*m_mirror.dateOf("a"), StoreTime(53s));
    EXPECT_GT(*m_mirror.dateOf("a"), StoreTime(53s) - 500ms);
}

// While no question waited at the store, a change may have been made at any moment since its last answer.
TEST_F(TableFollowerTest, datesAChangeBeforeTheTimeInWhichNobodyWaited)
{
    question().done(pageSaid(50s, 5, {}));
    auto lost = question();
    pass(300ms);
    lost.done(away);
    question().done(pageSaid(50s + 400ms, 6, {{"a", "1", 6, false}}));
    ASSERT_TRUE(m_mirror.dateOf("a").has_value());
    EXPECT_LE(*m_mirror.dateOf("a"), StoreTime(50s + 100ms));
    EXPECT_GE(*m_mirror.dateOf("a"), StoreTime(50s));
}

// An answer may be late by seconds: its host was suspended or its link slow. What the store takes in meanwhile is told by the next answer, at once.
TEST_F(TableFollowerTest, datesAChangeThatWasMadeWhileTheAnswerBeforeWasOnItsWay)
{
    question().done(pageSaid(50s, 5, {}));
    const auto late = question();
    pass(400ms);
    late.done(pageSaid(50s + 20ms, 6, {{"other", "1", 6, false}}));
    const auto made = StoreTime(50s + 50ms);
    question().done(pageSaid(50s + 420ms, 7, {{"a", "1", 7, false}}));
    ASSERT_TRUE(m_mirror.dateOf("a").has_value());
    EXPECT_LE(*m_mirror.dateOf("a"), made);
}

TEST_F(TableFollowerTest, datesWhatIsNewInATableThatIsReadAgainByTheLastAnswerBefore)
{
    question().done(pageSaid(50s, 5, {{"a", "1", 5, false}}));
    question().done(RowPage{{}, 0, true});
    question().done(pageSaid(60s, 9, {{"a", "1", 5, false}, {"b", "1", 9, false}}));
    EXPECT_EQ(m_mirror.dateOf("a"), std::nullopt);
    EXPECT_EQ(m_mirror.dateOf("b"), StoreTime(50s));
}

// What another process tells is dated by that process; when it came says nothing.
TEST_F(TableFollowerTest, leavesTheDatesOfAnotherProcessAsTheyAre)
{
    question().done(pageSaid(50s, 5, {}));
    TableRow dated{"a", "1", 6, false};
    dated.committedAfter = StoreTime(51s);
    question().done(page(7, {dated, {"b", "1", 7, false}}));
    EXPECT_EQ(m_mirror.dateOf("a"), StoreTime(51s));
    EXPECT_EQ(m_mirror.dateOf("b"), std::nullopt);
}

TEST_F(TableFollowerTest, outlivesAnAnswerThatComesAfterItsEnd)
{
    auto late = question();
    m_follower.reset();
    late.done(page(5, {{"a", "1", 5, false}}));
    EXPECT_TRUE(m_mirror.rows().empty());
}

// Whatever the store does to single answers, in the end the mirror holds what a reader of the whole table would.
TEST_F(TableFollowerTest, agreesWithANaiveReaderAfterAnyTrouble)
{
    EXPECT_TRUE(rc::check([this] {
        ScriptedSource source;
        Mirror mirror;
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
        auto respond = [&](ScriptedSource::Question asked) {
            if (asked.isWhole) {
                asked.done(all());
                return;
            }
            if (asked.after < compacted) {
                asked.done(RowPage{{}, 0, true});
                return;
            }
            std::vector<TableRow> rows;
            std::copy_if(history.begin(), history.end(), std::back_inserter(rows), [&](const TableRow &row) { return row.revision > asked.after; });
            asked.done(page(revision, std::move(rows)));
        };
        const auto next = [&] {
            while (!source.hasQuestion()) {
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
