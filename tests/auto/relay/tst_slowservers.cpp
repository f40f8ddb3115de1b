#include "relaytest.h"

#include <sys/socket.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Test::contains;
using Test::runUntil;

// More than what the system holds for a server that does not read.
constexpr std::size_t longBodyBytes = 12'000'000;

// Longer than the time without an acknowledgement after which a host counts as gone.
constexpr std::chrono::milliseconds readingPause{6000};

// A backend server that reads its first request only now and then, and answers it.
class PausingServer : private Http::ChannelObserver, private Http::MessageSink
{
public:
    explicit PausingServer(EventLoop::Loop &loop)
        : m_loop(loop)
        , m_reader(Http::MessageReader::Kind::Requests, *this, {})
        , m_listener(
              std::move(Http::TcpListener::create(loop, Http::Endpoint::parse("127.0.0.1:0").value(), [this](int descriptor) { accept(descriptor); }).value()))
    {
    }

    std::string address() const
    {
        return m_listener->endpoint().toString();
    }

    bool hasConnection() const
    {
        return m_channel != nullptr;
    }

    bool isBroken() const
    {
        return m_isBroken;
    }

    void setReading(bool isReading)
    {
        m_channel->setReading(isReading);
    }

    std::size_t bodyBytes() const
    {
        return m_bodyBytes;
    }

private:
    void accept(int descriptor)
    {
        EXPECT_EQ(setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &Http::receiveBufferBytes, sizeof Http::receiveBufferBytes), 0);
        m_channel = Http::TcpChannel::adopt(m_loop, descriptor, *this);
        m_channel->setReading(false);
    }

    void receiveBytes(std::string_view data) override
    {
        (void)m_reader.feed(data);
    }

    void receiveEnd(Http::ChannelEnd end) override
    {
        m_isBroken = end == Http::ChannelEnd::Broken;
    }

    void receiveHead(Http::MessageHead head) override
    {
        m_head = std::move(head);
    }

    void receiveBody(std::string_view data) override
    {
        m_bodyBytes += data.size();
    }

    void receiveEnd() override
    {
        m_channel->write(Test::answer(m_head, "done"));
    }

    EventLoop::Loop &m_loop;
    std::unique_ptr<Http::TcpChannel> m_channel;
    Http::MessageReader m_reader;
    std::unique_ptr<Http::TcpListener> m_listener;
    Http::MessageHead m_head;
    std::size_t m_bodyBytes = 0;
    bool m_isBroken = false;
};

class SlowServersTest : public Test::RelayTest
{
protected:
    // Sends a long body to a server that pauses, reads a little, pauses again and then reads the rest; returns what the caller got.
    std::string answerOfPausingServer(const std::string &path)
    {
        Decisions::RelayConfiguration roomy = configuration();
        roomy.limits.bodyBytes = longBodyBytes;
        EXPECT_TRUE(m_relay->setConfiguration(std::move(roomy)));
        PausingServer server(*m_loop);
        m_relay->fleet().servers().set({"pausing", "s", server.address(), "hall", 6, false, {}});
        const auto client = caller();
        client->send(request(path, "", std::string(longBodyBytes, 'x')));
        EXPECT_TRUE(runUntil(*m_loop, [&server] { return server.hasConnection(); }));
        runFor(readingPause);
        server.setReading(true);
        EXPECT_TRUE(runUntil(*m_loop, [&] { return server.isBroken() || client->isClosed() || server.bodyBytes() > longBodyBytes / 10; }));
        server.setReading(false);
        runFor(readingPause);
        server.setReading(true);
        EXPECT_TRUE(runUntil(*m_loop, [&] { return server.isBroken() || client->isClosed() || contains(client->received(), "\r\n\r\n"); }));
        EXPECT_EQ(server.bodyBytes(), longBodyBytes);
        return client->received();
    }
};

} // namespace

// A call was given up after four seconds in which the server read nothing, though its host was there all the time.
TEST_F(SlowServersTest, requestIsCutWhileItsServerPauses)
{
    EXPECT_TRUE(answerOfPausingServer("/once/").ends_with("done"));
}

TEST_F(SlowServersTest, requestThatMayRunAgainIsCutWhileItsServerPauses)
{
    EXPECT_TRUE(answerOfPausingServer("/safe/").ends_with("done"));
}

} // namespace Verbena::Relay
