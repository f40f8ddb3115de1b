#include "relaytest.h"

#include <observe/metrics.h>
#include <relay/serverconnections.h>

#include <sys/socket.h>
#include <unistd.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Test::runUntil;
using Test::WorkerFake;
using Test::WorkerScript;

const Http::OutgoingMessage question{"GET /safe/ HTTP/1.1\r\nId: 1\r\n\r\n", nullptr};

class CallRecorder : public CallObserver
{
public:
    bool isEnded = false;
    std::optional<Decisions::CallFailure> failure;

private:
    void receiveAnswerHead(const Http::MessageHead &) override
    {
    }

    void receiveAnswerBody(std::string_view) override
    {
    }

    void receiveAnswerEnd() override
    {
        isEnded = true;
    }

    void callFailed(Decisions::CallFailure callFailure, std::string_view) override
    {
        failure = callFailure;
    }
};

class KeptCallsTest : public testing::Test
{
protected:
    KeptCallsTest()
    {
        m_servers.set({"s1", "s", m_worker->address(), "hall", 6, false, {}});
        m_server.address = m_worker->address();
        const auto endpoint = Http::Endpoint::parse(m_worker->address()).value();
        const auto call = std::move(BackendCall::create(*m_loop, endpoint, question, {}, m_loop->now() + 10s, m_first).value());
        EXPECT_TRUE(runUntil(*m_loop, [this] { return m_first.isEnded; }));
        m_connections.keep(m_server, *call);
        EXPECT_TRUE(m_connections.hasIdle(m_server.address, m_loop->now()));
    }

    std::unique_ptr<BackendCall> reuse(CallObserver &observer)
    {
        return m_connections.reuse(m_server, {.isRepeatable = true, .hasId = true}, question, observer);
    }

    std::unique_ptr<EventLoop::Loop> m_loop = std::move(EventLoop::Loop::create().value());
    std::string m_answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=20\r\n\r\n";
    std::unique_ptr<WorkerFake> m_worker
        = std::make_unique<WorkerFake>(*m_loop, [this](const auto &, const auto &) { return WorkerScript{std::exchange(m_answer, "")}; });
    Decisions::ServerRegister m_servers;
    Observe::Metrics m_metrics;
    ServerConnections m_connections{*m_loop, m_servers, m_metrics};
    Decisions::ServerInstance m_server{"s1", "", 0};
    CallRecorder m_first;
};

// The server closed the connection, and the loop has not told of it when the next request comes.
TEST_F(KeptCallsTest, sendsNothingOnAConnectionThatWasClosedAMomentBefore)
{
    m_worker.reset();
    CallRecorder second;
    EXPECT_EQ(reuse(second), nullptr);
    EXPECT_FALSE(second.failure.has_value());
    EXPECT_EQ(m_connections.count(), 0U);
}

// A host that acknowledges is not given up, however long its server takes.
TEST_F(KeptCallsTest, waitsForAServerThatHasGotTheRequest)
{
    CallRecorder second;
    const auto call = reuse(second);
    ASSERT_NE(call, nullptr);
    const Core::TimePoint sentAt = m_loop->now();
    ASSERT_TRUE(runUntil(*m_loop, [&] { return m_loop->now() > sentAt + 600ms; }));
    EXPECT_FALSE(second.failure.has_value());
    m_worker->sendMore("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(runUntil(*m_loop, [&] { return second.isEnded; }));
}

class NoObserver : public Http::ChannelObserver
{
    void receiveBytes(std::string_view) override
    {
    }

    void receiveEnd(Http::ChannelEnd) override
    {
    }
};

// A request to a host that was gone waited for seconds. Here the host takes nothing, as the small buffer at its end is full.
TEST(UnacknowledgedCallTest, losesARequestThatNothingAcknowledges)
{
    constexpr int smallBuffer = 1;
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof smallBuffer), 0);
    Http::Endpoint endpoint = Http::Endpoint::parse("127.0.0.1:0").value();
    socklen_t size = sizeof endpoint.address;
    ASSERT_EQ(bind(listener, reinterpret_cast<const sockaddr *>(&endpoint.address), size), 0);
    ASSERT_EQ(listen(listener, 1), 0);
    ASSERT_EQ(getsockname(listener, reinterpret_cast<sockaddr *>(&endpoint.address), &size), 0);
    const auto loop = std::move(EventLoop::Loop::create().value());
    NoObserver none;
    auto channel = std::move(Http::TcpChannel::connect(*loop, endpoint, none).value());
    ASSERT_TRUE(runUntil(*loop, [&] { return channel->isConnected(); }));
    channel->writeNow({std::string(16 * 1024, 'x'), nullptr});
    ASSERT_EQ(channel->bufferedBytes(), 0U);
    ASSERT_GT(channel->unacknowledgedBytes(), 0U);
    CallRecorder recorder;
    const auto call = BackendCall::reuse(*loop, std::move(channel), question, loop->now() + 50ms, recorder);
    ASSERT_NE(call, nullptr);
    ASSERT_TRUE(runUntil(*loop, [&] { return recorder.failure.has_value(); }));
    EXPECT_EQ(recorder.failure, Decisions::CallFailure::Unacknowledged);
    close(listener);
}

} // namespace

} // namespace Verbena::Relay
