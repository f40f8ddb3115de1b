#include "relaytest.h"

#include <eventloop/timer.h>
#include <relay/crashcontrol.h>

#include <algorithm>
#include <vector>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Test::answer;
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

// What an engine sends for a stream.
enum class RunKind {
    Open, ///< One event.
    Reset, ///< One event, before it closes the connection.
    Whole, ///< One event and the end.
};

// Three engines with an agent beside each. The first to run a stream sends one event of it and waits to load weights.
class GivenUpCallsTest : public RelayTest
{
protected:
    static constexpr std::size_t engines = 3;
    static constexpr std::chrono::milliseconds reportInterval{250};

    GivenUpCallsTest()
        : m_reports(*m_loop, [this] { report(); })
    {
    }

    ~GivenUpCallsTest() override
    {
        m_relay->setCrashControl(nullptr);
    }

    // Engines run the stream for the second time and later as \a later says, and send the rest after that.
    void startEngines(const std::vector<RunKind> &later)
    {
        m_relay->setConfiguration(configuration());
        m_relay->setCrashControl(&m_servers);
        for (std::size_t number = 0; number < engines; ++number) {
            addWorker([this, later](const Http::MessageHead &head, const std::string &) {
                const std::size_t place = runs();
                const RunKind laterRun = place < later.size() + 2 && place > 1 ? later[place - 2] : RunKind::Whole;
                const RunKind run = place == 1 ? RunKind::Open : laterRun;
                const std::string begin = streamHead(head) + chunk(event(static_cast<int>(place)));
                return WorkerScript{
                    run == RunKind::Whole ? begin + "0\r\n\r\n" : begin, run == RunKind::Reset ? WorkerScript::End::Reset : WorkerScript::End::Keep};
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

    // From now on all agents report several times a second, except for that of \a silent.
    void reportWithout(std::size_t silent)
    {
        m_silent = silent;
        report();
    }

    void report()
    {
        Decisions::EngineStatus status;
        status.weights = {{"m", 1}};
        for (std::size_t number = 0; number < engines; ++number) {
            if (number != m_silent) {
                m_relay->fleet().updateStatus(m_workers[number]->address(), status, m_loop->now());
            }
        }
        m_reports.startAt(m_loop->now() + reportInterval);
    }

    // Returns the engine that runs the stream after the first one.
    std::size_t secondEngine() const
    {
        std::size_t second = engines;
        for (std::size_t number = 0; number < engines; ++number) {
            second = number != m_first && !m_workers[number]->heads().empty() ? number : second;
        }
        return second;
    }

    std::size_t enginesThatRan() const
    {
        return static_cast<std::size_t>(std::count_if(m_workers.begin(), m_workers.end(), [](const auto &worker) { return !worker->heads().empty(); }));
    }

    bool runUntilEnd()
    {
        EXPECT_TRUE(runUntil(*m_loop, [this] { return m_client->isClosed() || contains(m_client->received(), "\r\n0\r\n\r\n"); }));
        return contains(m_client->received(), "\r\n0\r\n\r\n");
    }

    CheckedServers m_servers;
    EventLoop::Timer m_reports;
    std::size_t m_silent = engines; ///< Engine whose agent does not report.
    std::unique_ptr<CallerFake> m_client;
    std::size_t m_first = 0;
};

// A stream that waits at an engine whose weights become too old. The second time, an engine runs it whole.
class CalledBackStreamTest : public RelayTest
{
protected:
    // The engine refuses the stream as often as \a refusals says when it comes back.
    void beginStream(std::size_t refusals = 0)
    {
        startOnOldWeights([this, refusals](const auto &head, const auto &) {
            const WorkerScript later = runs() <= refusals + 1 ? WorkerScript{answer(head, "", "Not-Run: 1\r\n", "503 Loading")} : wholeStream(head);
            return runs() == 1 ? WorkerScript{} : later;
        });
        m_client = caller();
        m_client->send(request("/resume/", "Model: m\r\n"));
        ASSERT_TRUE(runUntil(*m_loop, [this] { return runs() == 1; }));
    }

    void callBack()
    {
        ASSERT_TRUE(m_relay->fleet().recordWeightsAnnouncement("m", 2, m_loop->now()));
        ASSERT_TRUE(runUntil(*m_loop, [this] { return m_workers[0]->openCount() == 0; }));
    }

    static WorkerScript wholeStream(const Http::MessageHead &head)
    {
        return {streamHead(head) + chunk(event(1)) + "0\r\n\r\n"};
    }

    void registerWithNewWeights(std::size_t number)
    {
        const std::string id = "server-" + std::to_string(number + 1);
        m_relay->fleet().servers().set({id, "s", m_workers[number]->address(), "hall", 6, false, {{"m", 2}}});
    }

    void expectWhole()
    {
        EXPECT_TRUE(runUntil(*m_loop, [this] { return m_client->isClosed() || contains(m_client->received(), "\r\n\r\n"); }));
        EXPECT_TRUE(contains(m_client->received(), event(1))) << m_client->received();
        EXPECT_EQ(runs(), 2U);
    }

    std::unique_ptr<CallerFake> m_client;
};

} // namespace

// A stream was called back from an engine that was about to load the new weights, and answered as lost at once, as no other engine had them yet.
TEST_F(CalledBackStreamTest, isLostThoughItsEngineGetsNewWeights)
{
    beginStream();
    callBack();
    runFor(300ms);
    registerWithNewWeights(0);
    expectWhole();
}

// The same where another engine has them a moment later.
TEST_F(CalledBackStreamTest, isLostThoughAnotherEngineGetsNewWeights)
{
    beginStream();
    callBack();
    runFor(300ms);
    addWorker([](const auto &head, const auto &) { return wholeStream(head); });
    registerWithNewWeights(1);
    expectWhole();
}

// The same while another engine had asked for a rest that is longer than the wait.
TEST_F(CalledBackStreamTest, isLostWhileAnotherEngineRests)
{
    beginStream();
    addWorker([](const auto &head, const auto &) { return wholeStream(head); });
    m_relay->fleet().servers().set({"server-2", "s", m_workers[1]->address(), "hall", 6, false, {{"m", 1}}});
    Decisions::FleetChoice resting;
    resting.serverId = "server-2";
    m_relay->fleet().recordRest(resting, 5s, m_loop->now());
    callBack();
    runFor(300ms);
    registerWithNewWeights(0);
    expectWhole();
}

// The engine was not ready yet when its stream came back, and was asked again and again without a pause.
TEST_F(CalledBackStreamTest, goesBackWithoutAPause)
{
    beginStream(2);
    callBack();
    registerWithNewWeights(0);
    const Core::TimePoint begin = m_loop->now();
    EXPECT_TRUE(runUntil(*m_loop, [this] { return m_client->isClosed() || contains(m_client->received(), event(1)); }));
    EXPECT_TRUE(contains(m_client->received(), event(1))) << m_client->received();
    EXPECT_GE(m_loop->now() - begin, 20ms);
}

// A stream was moved off an engine that waited to load weights; its new engine ended, and the move had used up the attempt that was left.
TEST_F(GivenUpCallsTest, movedStreamIsCutWhenItsNewEngineEnds)
{
    startEngines({RunKind::Reset});
    reportWaitingToLoad();
    m_workers[m_first]->sendMore(chunk(event(2)));
    EXPECT_TRUE(runUntilEnd()) << m_client->received();
    EXPECT_EQ(runs(), 3U);
    EXPECT_TRUE(contains(m_client->received(), event(3))) << m_client->received();
}

// Where it is not known that the engine has ended, its run counts; the stream could still go on where it had been.
TEST_F(GivenUpCallsTest, movedStreamIsCutWhenItsNewEngineIsCutOff)
{
    m_servers.finding = ServerEnd::Unknown;
    startEngines({RunKind::Reset});
    reportWaitingToLoad();
    m_workers[m_first]->sendMore(chunk(event(2)));
    EXPECT_TRUE(runUntilEnd()) << m_client->received();
    EXPECT_TRUE(contains(m_client->received(), event(3))) << m_client->received();
    EXPECT_EQ(runs(), 3U);
    EXPECT_EQ(m_workers[m_first]->heads().size(), 2U);
}

// The same where the new engine stands still and no connection breaks.
TEST_F(GivenUpCallsTest, movedStreamWaitsAtANewEngineThatFreezes)
{
    m_servers.finding = ServerEnd::Unknown;
    startEngines({RunKind::Open});
    reportWaitingToLoad();
    m_workers[m_first]->sendMore(chunk(event(2)));
    ASSERT_TRUE(runUntil(*m_loop, [this] { return runs() == 2; }));
    reportWithout(engines);
    reportWithout(secondEngine());
    ASSERT_TRUE(runUntil(*m_loop, [this] { return runs() == 3; }));
    EXPECT_TRUE(runUntilEnd()) << m_client->received();
    EXPECT_TRUE(contains(m_client->received(), event(3))) << m_client->received();
    EXPECT_EQ(m_workers[m_first]->heads().size(), 2U);
}

// A stream goes back once, and not to a server that has not run it.
TEST_F(GivenUpCallsTest, runsAtNoMoreServersThanTheRouteAllows)
{
    m_servers.finding = ServerEnd::Unknown;
    startEngines({RunKind::Reset, RunKind::Reset});
    reportWaitingToLoad();
    m_workers[m_first]->sendMore(chunk(event(2)));
    EXPECT_FALSE(runUntilEnd()) << m_client->received();
    EXPECT_EQ(runs(), 3U);
    EXPECT_EQ(enginesThatRan(), 2U);
}

// A router under SIGTERM took a stream off an engine that would have ended it, and had no time to go on once more when the next one failed.
TEST_F(GivenUpCallsTest, streamIsMovedDuringAStop)
{
    startEngines({});
    m_relay->beginShutdown([] {});
    reportWaitingToLoad();
    m_workers[m_first]->sendMore(chunk(event(2)));
    runFor(300ms);
    m_workers[m_first]->sendMore(chunk(event(3)) + "0\r\n\r\n");
    EXPECT_TRUE(runUntilEnd()) << m_client->received();
    EXPECT_EQ(runs(), 1U);
}

} // namespace Verbena::Relay
