#include <relay/cachewatch.h>
#include <relay/refusedentries.h>

#include <eventloop/loop.h>

#include <gtest/gtest.h>

#include <deque>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;

/// A cache whose answers a test gives one by one.
class ScriptedCache : public CacheNewsSource
{
public:
    struct Question
    {
        std::uint64_t since = 0;
        CacheCallback done;
    };

    void awaitCacheNews(const std::string &, std::uint64_t since, Core::TimePoint, Core::TimePoint, CacheCallback done) override
    {
        m_questions.push_back({since, std::move(done)});
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

class CacheWatchTest : public testing::Test
{
protected:
    CacheWatchTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_watch(*m_loop, m_cache, "10.0.0.1:8000")
    {
    }

    ScriptedCache::Question question()
    {
        while (!m_cache.hasQuestion()) {
            m_loop->runOnce();
        }
        return m_cache.take();
    }

    bool contains(const std::string &id) const
    {
        return m_watch.index().contains(Decisions::partKey("s", id));
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    ScriptedCache m_cache;
    CacheWatch m_watch;
};

// The numbers of a cache's events start anew with it. Asked for what came after event 40, one that has told of 2 since its start has nothing to say.
TEST_F(CacheWatchTest, readsTheEventsOfANewStartFromTheFirst)
{
    question().done(CacheNews{1, 40, {{"s", "old", 500}}});
    EXPECT_TRUE(contains("old"));
    question().done(CacheNews{2, 2, {}});
    EXPECT_FALSE(contains("old"));
    auto again = question();
    EXPECT_EQ(again.since, 0U);
    again.done(CacheNews{2, 2, {{"s", "new", 500}}});
    EXPECT_TRUE(contains("new"));
    EXPECT_EQ(question().since, 2U);
}

TEST_F(CacheWatchTest, takesNoAnswerToAQuestionOfBeforeARestart)
{
    question().done(CacheNews{1, 40, {{"s", "old", 500}}});
    auto late = question();
    m_watch.restart();
    EXPECT_FALSE(contains("old"));
    late.done(CacheNews{1, 41, {{"s", "older", 500}}});
    EXPECT_FALSE(contains("older"));
    EXPECT_EQ(question().since, 0U);
}

TEST(RefusedEntriesTest, tellsOfAnEntryOnceForEachReason)
{
    RefusedEntries refused;
    EXPECT_TRUE(refused.isNews("a", "no service"));
    EXPECT_FALSE(refused.isNews("a", "no service"));
    EXPECT_TRUE(refused.isNews("a", "no address"));
    refused.forget("a");
    EXPECT_TRUE(refused.isNews("a", "no address"));
}

TEST(RefusedEntriesTest, isBoundedHoweverManyEntriesAreWritten)
{
    RefusedEntries refused;
    int told = 0;
    for (int entry = 0; entry < 10'000; ++entry) {
        told += refused.isNews(std::to_string(entry), "no service") ? 1 : 0;
    }
    EXPECT_LE(told, 1000);
}

} // namespace

} // namespace Verbena::Relay
