#include <http/tcpchannel.h>
#include <http/tcplistener.h>

#include <platform/workerfake.h>
#include <support/smallsocket.h>

#include <gtest/gtest.h>

#include <array>
#include <string>

#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Verbena::Http {

namespace {

using namespace std::chrono_literals;
using Test::runUntil;

// More than what the system holds for a peer that does not read.
constexpr std::size_t longMessageBytes = 1'000'000;

// Longer than the time after which the kernel ends a connection whose peer acknowledges nothing.
constexpr std::chrono::milliseconds pause{12'000};

// In it, a host that is gone must be noticed; the kernel itself probes a window that has been closed for some time only every minute or two.
constexpr std::chrono::milliseconds noticeTime{30'000};

// The end of a connection that belongs to another host.
class Peer
{
public:
    explicit Peer(const Endpoint &endpoint)
        : m_socket(Test::connectSmall(endpoint.address))
    {
    }

    ~Peer()
    {
        close(m_socket);
    }

    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;

    // From now on the kernel drops all that comes for this end, as if its host were gone.
    void vanish() const
    {
        std::array<sock_filter, 1> instructions{sock_filter BPF_STMT(BPF_RET | BPF_K, 0)};
        const sock_fprog filter{instructions.size(), instructions.data()};
        EXPECT_EQ(setsockopt(m_socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter), 0);
    }

    // Reads up to \a bytes of what has come, and returns how many there were.
    std::size_t read(std::size_t bytes) const
    {
        std::string text(bytes, '\0');
        const ssize_t count = recv(m_socket, text.data(), text.size(), MSG_DONTWAIT);
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }

private:
    int m_socket;
};

class PeerWindowTest : public testing::Test, private ChannelObserver
{
protected:
    PeerWindowTest()
        : m_loop(std::move(EventLoop::Loop::create().value()))
        , m_listener(std::move(TcpListener::create(*m_loop, Endpoint::parse("127.0.0.1:0").value(), [this](int descriptor) { accept(descriptor); }).value()))
        , m_peer(m_listener->endpoint())
    {
        EXPECT_TRUE(runUntil(*m_loop, [this] { return m_channel != nullptr; }));
    }

    void writeLongMessage()
    {
        m_channel->write(std::string(longMessageBytes, 'x'));
    }

    // Runs for \a span, or until the connection ends.
    void runFor(std::chrono::milliseconds span)
    {
        const Core::TimePoint end = m_loop->now() + span;
        EXPECT_TRUE(runUntil(*m_loop, [this, end] { return m_isBroken || m_loop->now() >= end; }));
    }

    void accept(int descriptor)
    {
        m_channel = TcpChannel::adopt(*m_loop, descriptor, *this);
    }

    void receiveBytes(std::string_view) override
    {
    }

    void receiveEnd(ChannelEnd end) override
    {
        m_isBroken = end == ChannelEnd::Broken;
    }

    std::unique_ptr<EventLoop::Loop> m_loop;
    std::unique_ptr<TcpListener> m_listener;
    Peer m_peer;
    std::unique_ptr<TcpChannel> m_channel;
    bool m_isBroken = false;
};

} // namespace

// The kernel probed the window ever more rarely, and three probes without an answer took minutes.
TEST_F(PeerWindowTest, hostThatIsGoneBehindAClosedWindowIsNoticedAfterMinutes)
{
    writeLongMessage();
    runFor(pause);
    ASSERT_FALSE(m_isBroken);
    m_peer.vanish();
    runFor(noticeTime);
    EXPECT_TRUE(m_isBroken);
}

TEST_F(PeerWindowTest, leavesPeersThatPauseAgainAfterReadingALittle)
{
    constexpr std::size_t little = 20'000;
    writeLongMessage();
    std::size_t got = 0;
    for (int part = 0; part < 3 && !m_isBroken; ++part) {
        runFor(pause / 2);
        got += m_peer.read(little);
    }
    ASSERT_FALSE(m_isBroken);
    EXPECT_TRUE(runUntil(*m_loop, [&] {
        got += m_peer.read(longMessageBytes);
        return m_isBroken || got == longMessageBytes;
    }));
    EXPECT_EQ(got, longMessageBytes);
}

// What is sent may be so little that nothing tells a window that has closed from an open one.
TEST_F(PeerWindowTest, leavesPeersThatPauseWithinAStreamOfSmallEvents)
{
    const Core::TimePoint end = m_loop->now() + pause;
    while (m_loop->now() < end && !m_isBroken) {
        m_channel->write(std::string(50, 'x'));
        runFor(100ms);
    }
    EXPECT_FALSE(m_isBroken);
}

// With room in its window, a host that acknowledges nothing is gone after a few seconds.
TEST_F(PeerWindowTest, noticesAHostThatIsGoneWhileItReads)
{
    m_peer.vanish();
    m_channel->write(std::string(1000, 'x'));
    runFor(8s);
    EXPECT_TRUE(m_isBroken);
}

} // namespace Verbena::Http
