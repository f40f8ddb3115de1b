#include <store/tablefollower.h>

#include <eventloop/loop.h>
#include <eventloop/timer.h>

#include <gtest/gtest.h>

#include <deque>
#include <map>

namespace Verbena::Store {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A store whose answers a test gives one by one.
class HeldSource : public RowSource
{
public:
    void readTable(const std::string &, Core::TimePoint, PageCallback done) override
    {
        m_questions.push_back(std::move(done));
    }

    void awaitChanges(const std::string &, std::uint64_t, Core::TimePoint, Core::TimePoint, PageCallback done) override
    {
        m_questions.push_back(std::move(done));
    }

    std::deque<PageCallback> &questions()
    {
        return m_questions;
    }

private:
    std::deque<PageCallback> m_questions;
};

class Dates : public RowConsumer
{
public:
    void replaceRows(const std::string &, const RowPage &page) override
    {
        changeRows("", page);
    }

    void changeRows(const std::string &, const RowPage &page) override
    {
        for (const TableRow &row : page.rows) {
            byKey[row.key] = row.committedAfter;
        }
    }

    void sourceLost(const std::string &, const Core::Error &) override
    {
    }
    void sourceRegained(const std::string &) override
    {
    }

    std::map<std::string, std::optional<StoreTime>> byKey;
};

// An answer may be late by seconds: its host was suspended or its link slow. What the store takes in meanwhile is told by the next answer, at once.
class LateAnswersTest : public testing::Test
{
protected:
    LateAnswersTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_follower(*m_loop, m_source, "t", 0ms, m_dates)
    {
    }

    RowSource::PageCallback question()
    {
        while (m_source.questions().empty()) {
            m_loop->runOnce();
        }
        RowSource::PageCallback done = std::move(m_source.questions().front());
        m_source.questions().pop_front();
        return done;
    }

    static RowPage pageSaid(milliseconds moment, std::uint64_t revision, std::vector<TableRow> rows)
    {
        RowPage said{std::move(rows), revision, false};
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
    HeldSource m_source;
    Dates m_dates;
    TableFollower m_follower;
};

TEST_F(LateAnswersTest, dateAChangeThatWasMadeWhileTheAnswerBeforeWasOnItsWay)
{
    question()(pageSaid(50s, 5, {}));
    const auto late = question();
    pass(400ms);
    late(pageSaid(50s + 20ms, 6, {{"other", "1", 6, false}}));
    const auto made = StoreTime(50s + 50ms);
    question()(pageSaid(50s + 420ms, 7, {{"a", "1", 7, false}}));
    ASSERT_TRUE(m_dates.byKey.at("a").has_value());
    EXPECT_LE(*m_dates.byKey.at("a"), made);
}

} // namespace

} // namespace Verbena::Store
