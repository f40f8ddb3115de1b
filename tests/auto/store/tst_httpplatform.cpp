#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <platform/workerfake.h>
#include <store/httpplatform.h>
#include <support/childprocess.h>
#include <support/testhttp.h>

#include <gtest/gtest.h>

#include <map>
#include <optional>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;
using Store::CommitAnswer;
using Store::CommitOutcome;
using Store::TableRow;

// Runs the adapter against the stand-in platform in a separate process.
class HttpPlatformTest : public testing::Test
{
protected:
    HttpPlatformTest()
        : m_process("verbena-standin", {"platform"})
        , m_url("http://" + m_process.waitForLine("listening http "))
        , m_loop(EventLoop::Loop::create().value())
        , m_platform(Store::HttpPlatform::create(*m_loop, m_url).value())
    {
    }

    void control(const std::string &json) const
    {
        ASSERT_EQ(sendHttp("POST", m_url + "/control", {}, json).status, 200);
    }

    CommitAnswer commit(const std::vector<Store::RowWrite> &writes, std::chrono::milliseconds timeout = 20s)
    {
        CommitAnswer answer;
        m_platform->commit(writes, m_loop->now() + timeout, [&](const CommitAnswer &response) {
            answer = response;
            m_loop->stop();
        });
        m_loop->run();
        return answer;
    }

    Core::Result<std::vector<TableRow>> rows(const std::string &key)
    {
        Core::Result<std::vector<TableRow>> result = std::vector<TableRow>();
        m_platform->get(std::vector<std::string>{key}, m_loop->now() + 20s, [&](const Core::Result<std::vector<TableRow>> &response) {
            result = response;
            m_loop->stop();
        });
        m_loop->run();
        return result;
    }

    Core::Result<std::string> object(const std::string &name)
    {
        Core::Result<std::string> result = std::string();
        m_platform->get(name, m_loop->now() + 20s, [&](const Core::Result<std::string> &response) {
            result = response;
            m_loop->stop();
        });
        m_loop->run();
        return result;
    }

    std::vector<Store::HostEntry> hosts()
    {
        std::vector<Store::HostEntry> result;
        m_platform->fetch(m_loop->now() + 20s, [&](const Core::Result<std::vector<Store::HostEntry>> &response) {
            result = response.value();
            m_loop->stop();
        });
        m_loop->run();
        return result;
    }

    ChildProcess m_process;
    std::string m_url;
    std::unique_ptr<EventLoop::Loop> m_loop;
    std::unique_ptr<Store::HttpPlatform> m_platform;
};

TEST_F(HttpPlatformTest, commitsAllRowsOrNone)
{
    EXPECT_EQ(commit({{"a", "1", 0}, {"b", "2", 0}}).revision, 1U);
    const CommitAnswer rejected = commit({{"a", "3", 1}, {"b", "4", 0}});
    EXPECT_EQ(rejected.outcome, CommitOutcome::Conflict);
    ASSERT_EQ(rejected.current.size(), 1U);
    EXPECT_EQ(rejected.current[0].key, "b");
    EXPECT_EQ(rejected.current[0].value, "2");
    EXPECT_EQ(rows("a").value().at(0).value, "1");
}

TEST_F(HttpPlatformTest, keepsATombstoneThatALateCreateCannotOverwrite)
{
    commit({{"a", "1", 0}});
    EXPECT_EQ(commit({{"a", std::nullopt, 1}}).outcome, CommitOutcome::Committed);
    EXPECT_TRUE(rows("a").value().at(0).isDeleted);
    EXPECT_EQ(commit({{"a", "late", 0}}).outcome, CommitOutcome::Conflict);
    EXPECT_EQ(commit({{"a", "anew", 2}}).outcome, CommitOutcome::Committed);
}

TEST_F(HttpPlatformTest, scansWithoutSplittingACommit)
{
    commit({{"p/a", "1", 0}});
    commit({{"p/b", "2", 0}, {"p/c", "3", 0}, {"q", "4", 0}});
    std::vector<TableRow> found;
    m_platform->scan("p/", 0, 2, m_loop->now() + 20s, [&](const Core::Result<std::vector<TableRow>> &response) {
        found = response.value();
        m_loop->stop();
    });
    m_loop->run();
    ASSERT_EQ(found.size(), 3U);
    EXPECT_EQ(found[2].revision, 2U);
}

TEST_F(HttpPlatformTest, returnsNotSentInAnOutageAndOverBudget)
{
    control(R"({"outage": "refusing"})");
    EXPECT_EQ(commit({{"a", "1", 0}}).outcome, CommitOutcome::NotSent);
    EXPECT_EQ(rows("a").error().code, Core::ErrorCode::Unavailable);
    control(R"({"outage": "none", "writes_per_second": 1})");
    // Of two commits within one second the second exceeds the budget. If a pause falls between them, the next pair is tried.
    CommitAnswer answer = commit({{"b", "1", std::nullopt}});
    while (answer.outcome == CommitOutcome::Committed) {
        answer = commit({{"b", "1", std::nullopt}});
    }
    EXPECT_EQ(answer.outcome, CommitOutcome::NotSent);
    EXPECT_TRUE(rows("a").value().empty());
}

TEST_F(HttpPlatformTest, returnsNotSentWhenNobodyListens)
{
    m_process.sendSignal(SIGKILL);
    m_process.waitForExit();
    EXPECT_EQ(commit({{"a", "1", 0}}).outcome, CommitOutcome::NotSent);
}

TEST_F(HttpPlatformTest, returnsUnknownIfTheAnswerOrRequestIsLost)
{
    control(R"({"lost_answers": 1})");
    EXPECT_EQ(commit({{"a", "1", 0}}, 300ms).outcome, CommitOutcome::Unknown);
    EXPECT_EQ(rows("a").value().at(0).value, "1");
    control(R"({"lost_requests": 1})");
    EXPECT_EQ(commit({{"b", "1", 0}}, 300ms).outcome, CommitOutcome::Unknown);
    EXPECT_TRUE(rows("b").value().empty());
    control(R"({"outage": "silent"})");
    EXPECT_EQ(commit({{"c", "1", 0}}, 300ms).outcome, CommitOutcome::Unknown);
}

TEST_F(HttpPlatformTest, returnsUnknownWhenTheAnswerIsTooSlow)
{
    control(R"({"slowness_ms": 60000})");
    EXPECT_EQ(commit({{"a", "1", 0}}, 300ms).outcome, CommitOutcome::Unknown);
    control(R"({"slowness_ms": 0})");
    EXPECT_EQ(rows("a").value().at(0).value, "1");
}

TEST_F(HttpPlatformTest, storesObjectsAndReturnsHostsWithLag)
{
    EXPECT_EQ(object("snapshots/1").error().code, Core::ErrorCode::NotFound);
    m_platform->put("snapshots/1", std::string("a\0b", 3), m_loop->now() + 20s, [&](const Core::Result<void> &) { m_loop->stop(); });
    m_loop->run();
    EXPECT_EQ(object("snapshots/1").value(), std::string("a\0b", 3));
    EXPECT_EQ(object("no name").error().code, Core::ErrorCode::InvalidArgument);
    control(R"({"hosts": [{"name": "e1", "address": "10.0.0.1", "failure_domain": "a", "incarnation": 7}]})");
    ASSERT_EQ(hosts().size(), 1U);
    EXPECT_EQ(hosts()[0].incarnation, 7U);
    control(R"({"host_list_lag_ms": 600000, "hosts": [{"name": "e1", "incarnation": 8, "leaving": true}]})");
    EXPECT_EQ(hosts()[0].incarnation, 7U);
}

// An object whose transfer was cut was returned as the whole object.
TEST(HttpPlatformObjectsTest, rejectsAnObjectWithoutALength)
{
    const auto loop = std::move(EventLoop::Loop::create().value());
    WorkerFake server(*loop, [](const auto &, const auto &) { return WorkerScript{"HTTP/1.1 200 OK\r\n\r\nhalf", WorkerScript::End::Close}; });
    const auto platform = std::move(Store::HttpPlatform::create(*loop, "http://" + server.address()).value());
    std::optional<Core::Result<std::string>> result;
    platform->get("name", loop->now() + 20s, [&result](const Core::Result<std::string> &response) { result = response; });
    ASSERT_TRUE(runUntil(*loop, [&result] { return result.has_value(); }));
    EXPECT_FALSE(*result);
}

// Answers about rows and hosts could be as long as an object.
TEST(HttpPlatformBoundsTest, refusesRowsAndHostsBeyondTheLargestProperAnswer)
{
    constexpr std::size_t mebibyte = 1024 * 1024;
    const auto loop = std::move(EventLoop::Loop::create().value());
    WorkerFake server(*loop, [](const Http::MessageHead &head, const auto &) {
        const std::size_t padding = (head.target == "/hosts" ? 20 : 80) * mebibyte;
        const std::string body = R"({"rows": [], "hosts": []})" + std::string(padding, ' ');
        return WorkerScript{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    });
    const auto platform = std::move(Store::HttpPlatform::create(*loop, "http://" + server.address()).value());
    std::map<std::string, bool> isTaken;
    platform->fetch(loop->now() + 20s, [&isTaken](const auto &hosts) { isTaken["hosts"] = hosts.has_value(); });
    platform->get(std::vector<std::string>{"a"}, loop->now() + 20s, [&isTaken](const auto &rows) { isTaken["rows"] = rows.has_value(); });
    platform->get("object", loop->now() + 20s, [&isTaken](const Core::Result<std::string> &object) { isTaken["object"] = object.has_value(); });
    ASSERT_TRUE(runUntil(*loop, [&isTaken] { return isTaken.size() == 3; }));
    EXPECT_EQ(isTaken, (std::map<std::string, bool>{{"hosts", false}, {"rows", false}, {"object", true}}));
}

} // namespace

} // namespace Verbena::Test
