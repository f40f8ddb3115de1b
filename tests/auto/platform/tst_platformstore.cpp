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

class PlatformStoreTest : public testing::Test
{
protected:
    PlatformStoreTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_standin(*m_loop)
        , m_store(std::move(PlatformStore::create(*m_loop, m_standin.address(), "host-1").value()))
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

    Core::Result<std::uint64_t> fence()
    {
        std::optional<Core::Result<std::uint64_t>> result;
        m_store->drawNumber(m_loop->now() + 30s, [&result](Core::Result<std::uint64_t> number) { result = std::move(number); });
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

TEST_F(PlatformStoreTest, drawsNumbersThatOnlyRise)
{
    const auto first = fence();
    m_standin.put("op", "a", "one");
    const auto second = fence();
    ASSERT_TRUE(first && second);
    EXPECT_GT(second.value(), first.value());
}

} // namespace

} // namespace Verbena::Platform
