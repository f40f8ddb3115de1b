#include <http/tcpchannel.h>
#include <http/tcplistener.h>

#include <platform/workerfake.h>

#include <gtest/gtest.h>

#include <string>

namespace Verbena::Http {

namespace {

using namespace std::chrono_literals;
using Test::runUntil;

// More than what the system holds for a peer that does not read.
constexpr std::size_t longMessageBytes = 8'000'000;

// What the system may take beyond a bound: the last segment that it has begun.
constexpr std::size_t segmentBytes = 64 * 1024;

class LastBytes : public ByteMeter
{
public:
    explicit LastBytes(std::size_t &bytes)
        : m_bytes(bytes)
    {
    }

    void setBytes(std::size_t bytes) override
    {
        m_bytes = bytes;
    }

private:
    std::size_t &m_bytes;
};

// A channel and its far side, which does not read until it is told to.
class SocketBuffersTest : public testing::Test, private ChannelObserver
{
protected:
    SocketBuffersTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_listener(std::move(TcpListener::create(*m_loop, Endpoint::parse("127.0.0.1:0").value(), [this](int descriptor) { accept(descriptor); }).value()))
        , m_channel(std::move(TcpChannel::connect(*m_loop, m_listener->endpoint(), *this).value()))
    {
        m_channel->setKernelMeter(std::make_unique<LastBytes>(m_counted));
        EXPECT_TRUE(runUntil(*m_loop, [this] { return m_farSide != nullptr; }));
        m_farSide->setReading(false);
    }

    void accept(int descriptor)
    {
        m_farSide = TcpChannel::adopt(*m_loop, descriptor, *this);
    }

    // Writes a long message and runs until the system takes no more of it; returns what it holds then, as the channel counts it.
    std::size_t fill()
    {
        m_channel->write(std::string(longMessageBytes, 'x'));
        runFor(200ms);
        m_channel->updateKernelBytes();
        return m_counted;
    }

    void runFor(std::chrono::milliseconds span)
    {
        const Core::TimePoint end = m_loop->now() + span;
        EXPECT_TRUE(runUntil(*m_loop, [this, end] { return m_loop->now() >= end; }));
    }

    void receiveBytes(std::string_view data) override
    {
        m_received += data.size();
    }

    void receiveEnd(ChannelEnd) override
    {
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    std::unique_ptr<TcpChannel> m_farSide;
    std::unique_ptr<TcpListener> m_listener;
    std::unique_ptr<TcpChannel> m_channel;
    std::size_t m_counted = 0; ///< What the meter was told last.
    std::size_t m_received = 0; ///< What the far side has read.
};

} // namespace

// The system took megabytes for a peer that did not read, and nothing counted them.
TEST_F(SocketBuffersTest, systemHoldsMegabytesForOnePeer)
{
    EXPECT_LE(fill(), sendBufferBytes + segmentBytes);
    EXPECT_GE(m_counted, sendBufferBytes / 2);
    EXPECT_LE(m_channel->unacknowledgedBytes() - m_channel->bufferedBytes(), sendBufferBytes + segmentBytes);
}

TEST_F(SocketBuffersTest, systemHoldsLessWhereLessIsAllowed)
{
    m_channel->setSendBound(sendBufferBytes / 8);
    EXPECT_LE(fill(), sendBufferBytes / 8 + segmentBytes);
}

// What had come and was not read counted nowhere.
TEST_F(SocketBuffersTest, unreadBytesCountNowhere)
{
    std::size_t counted = 0;
    m_farSide->setUnreadMeter(std::make_unique<LastBytes>(counted));
    fill();
    m_farSide->updateUnreadBytes();
    EXPECT_GE(m_farSide->unreadBytes(), std::size_t(receiveBufferBytes) / 4);
    EXPECT_GE(counted, std::size_t(receiveBufferBytes) / 4);
    EXPECT_LE(counted, receiveMemoryBytes + segmentBytes);
    m_farSide->setReading(true);
    EXPECT_TRUE(runUntil(*m_loop, [this] { return m_received == longMessageBytes; }));
    m_farSide->updateUnreadBytes();
    EXPECT_EQ(m_farSide->unreadBytes(), 0U);
}

// What a peer that reads has taken is counted no longer, without another write.
TEST_F(SocketBuffersTest, bytesThatThePeerHasTakenStayCounted)
{
    m_channel->write(std::string(10'000, 'x'));
    runFor(50ms);
    EXPECT_GE(m_counted, 10'000U);
    m_farSide->setReading(true);
    EXPECT_TRUE(runUntil(*m_loop, [this] { return m_counted == 0; }));
}

// A bound that was low while the message began holds nothing up.
TEST_F(SocketBuffersTest, messageStopsAtASmallBound)
{
    m_channel->setSendBound(1);
    EXPECT_LT(fill(), longMessageBytes / 2);
    m_farSide->setReading(true);
    EXPECT_TRUE(runUntil(*m_loop, [this] { return m_received == longMessageBytes; }));
}

} // namespace Verbena::Http
