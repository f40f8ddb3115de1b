#include <http/tcpchannel.h>
#include <http/tcplistener.h>

#include <platform/workerfake.h>

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace Verbena::Http {

namespace {

using namespace std::chrono_literals;
using Test::runUntil;

// A channel whose far side resets the connection at once when the test says so.
class BrokenChannelTest : public testing::Test, private ChannelObserver
{
protected:
    BrokenChannelTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_listener(std::move(TcpListener::create(*m_loop, Endpoint::parse("127.0.0.1:0").value(), [this](int descriptor) { accept(descriptor); }).value()))
        , m_channel(std::move(TcpChannel::connect(*m_loop, m_listener->endpoint(), *this).value()))
    {
        EXPECT_TRUE(runUntil(*m_loop, [this] { return m_farSide != nullptr && m_channel->isConnected(); }));
    }

    void accept(int descriptor)
    {
        m_farSide = TcpChannel::adopt(*m_loop, descriptor, m_ignoring);
    }

    void reset()
    {
        m_farSide->resetOnClose();
        m_farSide.reset();
    }

    bool isRestWanted() const override
    {
        return m_isRestWanted;
    }

    void receiveBytes(std::string_view data) override
    {
        m_received += data;
    }

    void receiveEnd(ChannelEnd end) override
    {
        m_end = end;
    }

    struct IgnoringObserver : ChannelObserver
    {
        void receiveBytes(std::string_view) override
        {
        }

        void receiveEnd(ChannelEnd) override
        {
        }
    };

    std::unique_ptr<EventLoop::Loop> m_loop;
    IgnoringObserver m_ignoring;
    std::unique_ptr<TcpChannel> m_farSide;
    std::unique_ptr<TcpListener> m_listener;
    std::unique_ptr<TcpChannel> m_channel;
    bool m_isRestWanted = false;
    std::string m_received;
    std::optional<ChannelEnd> m_end;
};

} // namespace

// A call that looks for bytes takes the socket's error, and a reset was then reported as an orderly end.
TEST_F(BrokenChannelTest, resetIsAnOrderlyEndAfterALookForBytes)
{
    reset();
    EXPECT_FALSE(m_channel->hasUnreadBytes());
    EXPECT_FALSE(m_channel->isIdle());
    EXPECT_TRUE(m_channel->isReset());
    EXPECT_TRUE(runUntil(*m_loop, [this] { return m_end.has_value(); }));
    EXPECT_EQ(m_end, ChannelEnd::Broken);
}

// The same after a write, which takes the error as well.
TEST_F(BrokenChannelTest, resetIsAnOrderlyEndAfterAWrite)
{
    reset();
    m_channel->writeNow({"request", nullptr});
    EXPECT_FALSE(m_channel->isIdle());
    EXPECT_TRUE(runUntil(*m_loop, [this] { return m_end.has_value(); }));
    EXPECT_EQ(m_end, ChannelEnd::Broken);
}

TEST_F(BrokenChannelTest, resetIsAnOrderlyEndWhereTheRestIsRead)
{
    m_isRestWanted = true;
    reset();
    m_channel->writeNow({"request", nullptr});
    EXPECT_TRUE(runUntil(*m_loop, [this] { return m_end.has_value(); }));
    EXPECT_EQ(m_end, ChannelEnd::Broken);
}

// What came before the reset is read once reading goes on, and the end is no orderly one.
TEST_F(BrokenChannelTest, bytesBeforeAResetAreLostWhileReadingPauses)
{
    m_isRestWanted = true;
    m_channel->setReading(false);
    m_farSide->writeNow({"answer", nullptr});
    EXPECT_TRUE(runUntil(*m_loop, [this] { return m_channel->hasUnreadBytes(); }));
    reset();
    m_channel->writeNow({"rest of the request", nullptr});
    const Core::TimePoint end = m_loop->now() + 50ms;
    EXPECT_TRUE(runUntil(*m_loop, [this, end] { return m_end.has_value() || m_loop->now() >= end; }));
    EXPECT_FALSE(m_end.has_value());
    m_channel->setReading(true);
    EXPECT_TRUE(runUntil(*m_loop, [this] { return m_end.has_value(); }));
    EXPECT_EQ(m_received, "answer");
    EXPECT_EQ(m_end, ChannelEnd::Broken);
}

} // namespace Verbena::Http
