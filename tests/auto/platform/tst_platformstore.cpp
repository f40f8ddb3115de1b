#include <platform/platformstore.h>
#include <platform/storestandin.h>
#include <platform/workerfake.h>

#include <eventloop/loop.h>

#include <gtest/gtest.h>

namespace Verbena::Platform {

namespace {

using namespace std::chrono_literals;
using Test::runUntil;
using Test::StoreStandin;
using Test::WorkerFake;
using Test::WorkerScript;

class PlatformStoreTest : public testing::Test
{
protected:
    PlatformStoreTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_standin(*m_loop)
        , m_store(std::move(PlatformStore::create(*m_loop, m_standin.address()).value()))
    {
    }

    Core::Result<Store::RowPage> read(std::chrono::milliseconds patience = 30s)
    {
        std::optional<Core::Result<Store::RowPage>> result;
        m_store->readTable("op", m_loop->now() + patience, [&result](Core::Result<Store::RowPage> page) { result = std::move(page); });
        EXPECT_TRUE(runUntil(*m_loop, [&result] { return result.has_value(); }));
        return std::move(*result);
    }

    Core::Result<Store::RowPage> follow(std::uint64_t after, std::chrono::milliseconds wait)
    {
        std::optional<Core::Result<Store::RowPage>> result;
        const Core::TimePoint end = m_loop->now() + wait;
        m_store->awaitChanges("op", after, end, end + 30s, [&result](Core::Result<Store::RowPage> page) { result = std::move(page); });
        EXPECT_TRUE(runUntil(*m_loop, [&result] { return result.has_value(); }));
        return std::move(*result);
    }

    Store::CommitAnswer write(const std::string &key, const std::string &value, std::uint64_t expectedRevision)
    {
        std::optional<Store::CommitAnswer> result;
        m_store->commit("own", {{key, value, expectedRevision}}, m_loop->now() + 30s, [&result](const Store::CommitAnswer &answer) { result = answer; });
        EXPECT_TRUE(runUntil(*m_loop, [&result] { return result.has_value(); }));
        return std::move(*result);
    }

    Core::Result<std::optional<Store::TableRow>> row(const std::string &key)
    {
        std::optional<Core::Result<std::optional<Store::TableRow>>> result;
        m_store->readRow("own", key, m_loop->now() + 30s, [&result](auto answer) { result = std::move(answer); });
        EXPECT_TRUE(runUntil(*m_loop, [&result] { return result.has_value(); }));
        return std::move(*result);
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    StoreStandin m_standin;
    std::unique_ptr<PlatformStore> m_store;
};

TEST_F(PlatformStoreTest, readsRowsAndFollowsTheirChanges)
{
    m_standin.put("op", "a", "one");
    auto page = read();
    ASSERT_TRUE(page);
    ASSERT_EQ(page.value().rows.size(), 1U);
    EXPECT_EQ(page.value().rows[0].value, "\"one\"");
    m_standin.remove("op", "a");
    m_standin.put("op", "b", "two");
    const auto changes = follow(page.value().revision, 0ms);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes.value().rows.size(), 2U);
    EXPECT_TRUE(changes.value().rows[0].isDeleted);
    EXPECT_EQ(changes.value().rows[1].value, "\"two\"");
}

// One row that nobody can read must not hide the others.
TEST_F(PlatformStoreTest, readsTheOtherRowsBesideOneThatCannotBeRead)
{
    m_standin.put("op", "a", "one");
    m_standin.putEncoded("op", "b", "%%% no base64 %%%");
    const auto page = read();
    ASSERT_TRUE(page) << page.error().message;
    ASSERT_EQ(page.value().rows.size(), 2U);
    EXPECT_EQ(page.value().rows[0].value, "\"one\"");
    EXPECT_EQ(page.value().rows[1].value, "");
}

TEST_F(PlatformStoreTest, saysThatHistoryIsLost)
{
    m_standin.put("op", "a", "one");
    m_standin.compact();
    const auto changes = follow(0, 0ms);
    ASSERT_TRUE(changes);
    EXPECT_TRUE(changes.value().isHistoryLost);
}

TEST_F(PlatformStoreTest, failsWhileTheStoreIsBusyOrSilent)
{
    m_standin.setMode(StoreStandin::Mode::Busy);
    EXPECT_EQ(read().error().code, Core::ErrorCode::Unavailable);
    m_standin.setMode(StoreStandin::Mode::Silent);
    EXPECT_FALSE(read(50ms));
    m_standin.setMode(StoreStandin::Mode::Well);
    EXPECT_TRUE(read());
}

// The revisions of its commits are the numbers that fence orders.
TEST_F(PlatformStoreTest, commitsOnConditionWithRevisionsThatOnlyRise)
{
    const Store::CommitAnswer first = write("10.0.0.1:8000", "one", 0);
    ASSERT_EQ(first.outcome, Store::CommitOutcome::Committed);
    m_standin.put("op", "a", "other");
    const Store::CommitAnswer late = write("10.0.0.1:8000", "two", 0);
    EXPECT_EQ(late.outcome, Store::CommitOutcome::Conflict);
    ASSERT_EQ(late.current.size(), 1U);
    EXPECT_EQ(late.current.front().value, "one");
    const Store::CommitAnswer second = write("10.0.0.1:8000", "two", first.revision);
    ASSERT_EQ(second.outcome, Store::CommitOutcome::Committed);
    EXPECT_GT(second.revision, first.revision);
    const auto stands = row("10.0.0.1:8000");
    ASSERT_TRUE(stands && stands.value().has_value());
    EXPECT_EQ(stands.value()->value, "two");
    EXPECT_EQ(stands.value()->revision, second.revision);
    const auto none = row("10.0.0.1:800");
    ASSERT_TRUE(none);
    EXPECT_FALSE(none.value().has_value());
}

TEST_F(PlatformStoreTest, saysWhetherACommitMayHaveBeenMade)
{
    m_standin.setMode(StoreStandin::Mode::Busy);
    EXPECT_EQ(write("a", "one", 0).outcome, Store::CommitOutcome::NotSent);
}

// A store that closes each connection after some bytes of its answer.
class CutStoreTest : public testing::Test
{
protected:
    CutStoreTest()
        : m_store(std::move(PlatformStore::create(*m_loop, m_server.address()).value()))
    {
    }

    Store::CommitOutcome commit(const std::string &bytes)
    {
        m_bytes = bytes;
        std::optional<Store::CommitOutcome> outcome;
        m_store->commit("own", {{"a", "one", 0}}, m_loop->now() + 10s, [&outcome](const Store::CommitAnswer &answer) { outcome = answer.outcome; });
        EXPECT_TRUE(runUntil(*m_loop, [&outcome] { return outcome.has_value(); }));
        return *outcome;
    }

    Core::Result<Store::RowPage> follow(const std::string &bytes)
    {
        m_bytes = bytes;
        std::optional<Core::Result<Store::RowPage>> result;
        const Core::TimePoint end = m_loop->now() + 10s;
        m_store->awaitChanges("op", 1, end, end, [&result](Core::Result<Store::RowPage> page) { result = std::move(page); });
        EXPECT_TRUE(runUntil(*m_loop, [&result] { return result.has_value(); }));
        return std::move(*result);
    }

    static std::string answer(const std::string &status, const std::string &body)
    {
        return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n\r\n" + body;
    }

    std::unique_ptr<EventLoop::Loop> m_loop = std::move(EventLoop::Loop::create().value());
    std::string m_bytes;
    WorkerFake m_server{*m_loop, [this](const auto &, const auto &) {
                            return WorkerScript{m_bytes, WorkerScript::End::Close};
                        }};
    std::unique_ptr<PlatformStore> m_store;
};

// A refusal or a conflict whose answer was cut was believed, although nobody knows what the store had to say.
TEST_F(CutStoreTest, leavesTheOutcomeOfAWriteUnknownWhereverItsAnswerEnds)
{
    const std::string done = answer("200 OK", R"({"ver":7,"nowMs":1})");
    const std::string conflict = answer("412 Precondition Failed", R"({"ver":7,"nowMs":1,"rows":[]})");
    const std::string busy = answer("503 Busy", "");
    for (const std::string &whole : {done, conflict, busy}) {
        for (std::size_t size = 0; size < whole.size(); ++size) {
            EXPECT_EQ(commit(whole.substr(0, size)), Store::CommitOutcome::Unknown) << whole.substr(0, size);
        }
    }
    EXPECT_EQ(commit(done), Store::CommitOutcome::Committed);
    EXPECT_EQ(commit(conflict), Store::CommitOutcome::Conflict);
    EXPECT_EQ(commit(busy), Store::CommitOutcome::NotSent);
}

TEST_F(CutStoreTest, takesACutPageForNoPage)
{
    const std::string page = answer("200 OK", R"({"ver":7,"nowMs":1,"rows":[]})");
    const std::string gone = answer("410 Gone", "");
    for (const std::string &whole : {page, gone}) {
        for (std::size_t size = 0; size < whole.size(); ++size) {
            EXPECT_FALSE(follow(whole.substr(0, size))) << whole.substr(0, size);
        }
    }
    EXPECT_EQ(follow(page).value().revision, 7U);
    EXPECT_TRUE(follow(gone).value().isHistoryLost);
}

class EndlessPagesTest : public testing::Test
{
protected:
    std::string keyOfNext()
    {
        return m_isAdvancing ? std::to_string(firstKey + ++m_pages) : "same";
    }

    Core::Result<Store::RowPage> read()
    {
        const auto store = std::move(PlatformStore::create(*m_loop, m_server.address()).value());
        std::optional<Core::Result<Store::RowPage>> result;
        store->readTable("op", m_loop->now() + readTime, [&result](Core::Result<Store::RowPage> page) { result = std::move(page); });
        EXPECT_TRUE(runUntil(*m_loop, [&result] { return result.has_value(); }));
        return std::move(*result);
    }

    static constexpr int firstKey = 1'000'000;
    // Longer than it takes to read all pages that are allowed with sanitizers, so that the bound ends the read and not its deadline.
    static constexpr auto readTime = 50s;

    std::unique_ptr<EventLoop::Loop> m_loop = std::move(EventLoop::Loop::create().value());
    bool m_isAdvancing = false;
    int m_pages = 0;
    std::string m_value = std::string(1024 * 1024, 'A');
    WorkerFake m_server{*m_loop, [this](const auto &, const auto &) {
                            const std::string body
                                = R"({"ver":7,"nowMs":1,"morePages":true,"rows":[{"key":")" + keyOfNext() + R"(","ver":1,"value":")" + m_value + "\"}]}";
                            return WorkerScript{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
                        }};
};

// A store that announced more pages without end was read until the deadline, and all pages were kept.
TEST_F(EndlessPagesTest, endWithoutATable)
{
    EXPECT_EQ(read().error().code, Core::ErrorCode::InvalidArgument);
    EXPECT_LE(m_server.heads().size(), 2U);
    m_isAdvancing = true;
    EXPECT_EQ(read().error().code, Core::ErrorCode::ResourceExhausted);
    EXPECT_LE(m_server.heads().size(), 60U);
}

} // namespace

} // namespace Verbena::Platform
