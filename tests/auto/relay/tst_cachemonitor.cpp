#include <relay/cachemonitor.h>
#include <relay/rejectedentries.h>

#include <eventloop/loop.h>

#include <gtest/gtest.h>

#include <deque>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;

// Cache whose answers a test gives one by one.
class ScriptedCache : public CacheChangeSource
{
public:
    struct Request
    {
        std::uint64_t since = 0;
        CacheCallback done;
    };

    void awaitCacheChanges(const std::string &, std::uint64_t since, Core::TimePoint, Core::TimePoint, CacheCallback done) override
    {
        m_requests.push_back({since, std::move(done)});
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

class CacheMonitorTest : public testing::Test
{
protected:
    CacheMonitorTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_monitor(*m_loop, m_cache, "10.0.0.1:8000")
    {
    }

    ScriptedCache::Request request()
    {
        while (!m_cache.hasRequest()) {
            m_loop->runOnce();
        }
        return m_cache.take();
    }

    bool contains(const std::string &id) const
    {
        return m_monitor.index().contains(Decisions::partKey("s", id));
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    ScriptedCache m_cache;
    CacheMonitor m_monitor;
};

// The event numbers of a cache start anew when it restarts. A request for events after number 40 returns nothing if there were only 2 since the restart.
TEST_F(CacheMonitorTest, readsTheEventsOfANewIncarnationFromTheFirst)
{
    request().done(CacheChanges{1, 40, {{"s", "old", 500}}});
    EXPECT_TRUE(contains("old"));
    request().done(CacheChanges{2, 2, {}});
    EXPECT_FALSE(contains("old"));
    auto again = request();
    EXPECT_EQ(again.since, 0U);
    again.done(CacheChanges{2, 2, {{"s", "new", 500}}});
    EXPECT_TRUE(contains("new"));
    EXPECT_EQ(request().since, 2U);
}

TEST_F(CacheMonitorTest, ignoresAnAnswerToARequestBeforeARestart)
{
    request().done(CacheChanges{1, 40, {{"s", "old", 500}}});
    auto late = request();
    m_monitor.restart();
    EXPECT_FALSE(contains("old"));
    late.done(CacheChanges{1, 41, {{"s", "older", 500}}});
    EXPECT_FALSE(contains("older"));
    EXPECT_EQ(request().since, 0U);
}

TEST(RejectedEntriesTest, recordsAnEntryOncePerReason)
{
    RejectedEntries rejected;
    EXPECT_TRUE(rejected.record("a", "no service"));
    EXPECT_FALSE(rejected.record("a", "no service"));
    EXPECT_TRUE(rejected.record("a", "no address"));
    rejected.remove("a");
    EXPECT_TRUE(rejected.record("a", "no address"));
}

TEST(RejectedEntriesTest, limitsTheNumberOfEntries)
{
    RejectedEntries rejected;
    int logged = 0;
    for (int entry = 0; entry < 10'000; ++entry) {
        logged += rejected.record(std::to_string(entry), "no service") ? 1 : 0;
    }
    EXPECT_LE(logged, 1000);
}

} // namespace

} // namespace Verbena::Relay
