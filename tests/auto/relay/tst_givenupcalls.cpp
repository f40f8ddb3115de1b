#include "relaytest.h"

#include <relay/crashcontrol.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Test::CallerFake;
using Test::chunk;
using Test::contains;
using Test::event;
using Test::RelayTest;
using Test::runUntil;
using Test::streamHead;
using Test::WorkerScript;

// Finds for each lost call what the test says of its backend server, and suspects nothing.
class CheckedServers : public CrashControl
{
public:
    bool hasRecords() const override
    {
        return false;
    }

    bool isSuspected(const Decisions::CrashSubject &) const override
    {
        return false;
    }

    std::uint64_t claimTrial(const std::vector<Decisions::CrashSubject> &, TrialCallback) override
    {
        return 0;
    }

    void releaseTrial(const Decisions::CrashSubject &) override
    {
    }

    std::uint64_t handleLostCall(const LostCall &, CheckCallback done) override
    {
        done(finding);
        return 0;
    }

    void withdraw(std::uint64_t) override
    {
    }

    void handleSuccess(const std::vector<Decisions::CrashSubject> &) override
    {
    }

    ServerEnd finding = ServerEnd::Proved;
};

// Three engines. The first to run a stream sends one event of it and waits to load weights; the last one sends the rest.
class GivenUpCallsTest : public RelayTest
{
protected:
    static constexpr std::size_t engines = 3;

    ~GivenUpCallsTest() override
    {
        m_relay->setCrashControl(nullptr);
    }

    // The second engine that runs the stream ends after an event of its own if \a endsSecond.
    void startEngines(bool endsSecond)
    {
        m_relay->setConfiguration(configuration());
        m_relay->setCrashControl(&m_servers);
        for (std::size_t number = 0; number < engines; ++number) {
            addWorker([this, endsSecond](const Http::MessageHead &head, const std::string &) {
                const auto run = static_cast<int>(runs());
                const bool isEnding = run == 2 && endsSecond;
                const std::string begin = streamHead(head) + chunk(event(run));
                return WorkerScript{run == 1 || isEnding ? begin : begin + "0\r\n\r\n", isEnding ? WorkerScript::End::Reset : WorkerScript::End::Keep};
            });
            m_relay->fleet().servers().set({"server-" + std::to_string(number + 1), "s", m_workers[number]->address(), "hall", 6, false, {{"m", 1}}});
        }
        m_client = caller();
        m_client->send(request("/resume/", "Model: m\r\n"));
        ASSERT_TRUE(runUntil(*m_loop, [this] { return contains(m_client->received(), event(1)); }));
        for (std::size_t number = 0; number < engines; ++number) {
            m_first = m_workers[number]->heads().empty() ? m_first : number;
        }
    }

    void reportWaitingToLoad()
    {
        Decisions::EngineStatus loading;
        loading.weights = {{"m", 1}};
        loading.isLoading = true;
        m_relay->fleet().updateStatus(m_workers[m_first]->address(), loading, m_loop->now());
    }

    bool runUntilEnd()
    {
        EXPECT_TRUE(runUntil(*m_loop, [this] { return m_client->isClosed() || contains(m_client->received(), "\r\n0\r\n\r\n"); }));
        return contains(m_client->received(), "\r\n0\r\n\r\n");
    }

    CheckedServers m_servers;
    std::unique_ptr<CallerFake> m_client;
    std::size_t m_first = 0;
};

} // namespace

// A stream was moved off an engine that waited to load weights; its new engine ended, and the move had used up the attempt that was left.
TEST_F(GivenUpCallsTest, movedStreamIsCutWhenItsNewEngineEnds)
{
    startEngines(true);
    reportWaitingToLoad();
    m_workers[m_first]->sendMore(chunk(event(2)));
    EXPECT_TRUE(runUntilEnd()) << m_client->received();
    EXPECT_EQ(runs(), 3U);
    EXPECT_TRUE(contains(m_client->received(), event(3))) << m_client->received();
}

// Where it is not known that the engine has ended, its run counts.
TEST_F(GivenUpCallsTest, runsAtNoMoreServersThanTheRouteAllows)
{
    m_servers.finding = ServerEnd::Unknown;
    startEngines(true);
    reportWaitingToLoad();
    m_workers[m_first]->sendMore(chunk(event(2)));
    EXPECT_FALSE(runUntilEnd()) << m_client->received();
    EXPECT_EQ(runs(), 2U);
}

// A router under SIGTERM took a stream off an engine that would have ended it, and had no time to go on once more when the next one failed.
TEST_F(GivenUpCallsTest, streamIsMovedDuringAStop)
{
    startEngines(false);
    m_relay->beginShutdown([] {});
    reportWaitingToLoad();
    m_workers[m_first]->sendMore(chunk(event(2)));
    runFor(300ms);
    m_workers[m_first]->sendMore(chunk(event(3)) + "0\r\n\r\n");
    EXPECT_TRUE(runUntilEnd()) << m_client->received();
    EXPECT_EQ(runs(), 1U);
}

} // namespace Verbena::Relay
