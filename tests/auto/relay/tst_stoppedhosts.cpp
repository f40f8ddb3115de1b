#include "relaytest.h"

#include <array>
#include <string>

#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Test::answer;
using Test::CallerFake;
using Test::contains;
using Test::runUntil;
using Test::WorkerScript;

// Longer than any TCP header, and shorter than any request.
constexpr std::uint32_t longestHeader = 60;

// A host that stopped right after it had accepted a connection: the kernel drops what brings data, and so acknowledges nothing, until the host wakes.
class StoppedHost
{
public:
    StoppedHost()
        : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        std::array<sock_filter, 4> instructions{sock_filter BPF_STMT(BPF_LD | BPF_W | BPF_LEN, 0),
            sock_filter BPF_JUMP(BPF_JMP | BPF_JGT | BPF_K, longestHeader, 0, 1),
            sock_filter BPF_STMT(BPF_RET | BPF_K, 0),
            sock_filter BPF_STMT(BPF_RET | BPF_K, 0xffff)};
        const sock_fprog filter{instructions.size(), instructions.data()};
        Http::Endpoint endpoint = Http::Endpoint::parse("127.0.0.1:0").value();
        socklen_t size = sizeof endpoint.address;
        EXPECT_EQ(bind(m_listener, reinterpret_cast<const sockaddr *>(&endpoint.address), size), 0);
        EXPECT_EQ(listen(m_listener, 8), 0);
        EXPECT_EQ(setsockopt(m_listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter), 0);
        EXPECT_EQ(getsockname(m_listener, reinterpret_cast<sockaddr *>(&endpoint.address), &size), 0);
        m_address = endpoint.toString();
    }

    ~StoppedHost()
    {
        close(m_listener);
        close(m_connection);
    }

    StoppedHost(const StoppedHost &) = delete;
    StoppedHost &operator=(const StoppedHost &) = delete;

    const std::string &address() const
    {
        return m_address;
    }

    bool hasConnection()
    {
        if (m_connection < 0) {
            m_connection = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        }
        return m_connection >= 0;
    }

    void wake()
    {
        const int none = 0;
        EXPECT_EQ(setsockopt(m_connection, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof none), 0);
    }

    // Returns whether the server can read anything of a request.
    bool hasRequest()
    {
        char first = 0;
        return recv(m_connection, &first, sizeof first, 0) > 0;
    }

private:
    int m_listener;
    int m_connection = -1;
    std::string m_address;
};

class StoppedHostsTest : public Test::RelayTest
{
protected:
    StoppedHostsTest()
    {
        m_relay->setConfiguration(configuration());
        m_relay->fleet().servers().set({"stopped", "s", m_host.address(), "hall", 6, false, {}});
    }

    std::unique_ptr<CallerFake> callerAtStoppedHost(const std::string &path, std::size_t bodyBytes = 100)
    {
        auto client = caller();
        client->send(request(path, "", std::string(bodyBytes, 'x')));
        EXPECT_TRUE(runUntil(*m_loop, [this] { return m_host.hasConnection(); }));
        return client;
    }

    StoppedHost m_host;
};

// The router's kernel went on sending a request whose caller had left, and the server ran it when its host woke.
TEST_F(StoppedHostsTest, getNothingOfACallerThatHasLeft)
{
    const auto client = callerAtStoppedHost("/once/");
    runFor(100ms);
    client->hangUp();
    const Core::TimePoint deadline = m_loop->now() + leaveBound;
    // Until the router knows, what it has sent may still arrive.
    EXPECT_TRUE(runUntil(*m_loop, [this] { return metric("requests_unanswered_passed_on_caller_reset_total") == 1; }));
    EXPECT_LE(m_loop->now(), deadline);
    m_host.wake();
    runFor(2s);
    EXPECT_FALSE(m_host.hasRequest());
}

TEST_F(StoppedHostsTest, keepNoRequestThatMayRunAgain)
{
    const auto client = callerAtStoppedHost("/safe/");
    addWorker([](const auto &head, const auto &) { return WorkerScript{answer(head, "done")}; });
    runFor(600ms);
    EXPECT_TRUE(contains(client->received(), "done"));
    m_host.wake();
    runFor(1s);
    EXPECT_FALSE(m_host.hasRequest());
}

// What may run once waits, since the server may have got it although nothing was acknowledged.
TEST_F(StoppedHostsTest, keepWhatMayRunOnlyOnce)
{
    const auto client = callerAtStoppedHost("/once/");
    addWorker([](const auto &head, const auto &) { return WorkerScript{answer(head, "done")}; });
    runFor(600ms);
    EXPECT_EQ(runs(), 0U);
    EXPECT_EQ(client->received(), "");
    m_host.wake();
    EXPECT_TRUE(runUntil(*m_loop, [this] { return m_host.hasRequest(); }));
}

// The time limit of the connection, which runs until all is sent, ended what may run once while its body was being sent.
TEST_F(StoppedHostsTest, keepALargeBodyThatMayRunOnlyOnce)
{
    constexpr std::size_t largeBody = 16U << 20;
    Decisions::RelayConfiguration roomy = configuration(2);
    roomy.limits.bodyBytes = largeBody;
    ASSERT_TRUE(m_relay->setConfiguration(std::move(roomy)));
    const auto client = callerAtStoppedHost("/once/", largeBody);
    runFor(600ms);
    EXPECT_EQ(client->received(), "");
}

} // namespace

} // namespace Verbena::Relay
