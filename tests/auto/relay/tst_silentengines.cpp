#include "relaytest.h"

#include <eventloop/timer.h>

#include <algorithm>
#include <set>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Test::CallerFake;
using Test::chunk;
using Test::contains;
using Test::event;
using Test::runUntil;
using Test::streamHead;
using Test::WorkerScript;

constexpr std::size_t engines = 4;

// Callers give up a stream that brings nothing for two seconds.
constexpr std::chrono::milliseconds patience{2000};

// Time without a report after which an engine counts as lost, and the time by which a test may find that later: a few checks of the router.
constexpr std::chrono::milliseconds lostTime{2000};
constexpr std::chrono::milliseconds lostTolerance{500};

// An engine that wakes by then does not count as lost, even if it reported last a whole interval before its agent fell silent.
constexpr std::chrono::milliseconds wakeTime{1700};

// As often as agents report.
constexpr std::chrono::milliseconds reportInterval{250};

std::string wholeStream(const Http::MessageHead &head, int firstId)
{
    return streamHead(head) + chunk(event(firstId)) + chunk(event(firstId + 1)) + "0\r\n\r\n";
}

// Engines with an agent beside each, whose reports go on until the test stops them.
class SilentEnginesTest : public Test::RelayTest
{
protected:
    SilentEnginesTest()
        : m_reports(*m_loop, [this] { report(); })
    {
    }

    // The engine that gets the first request sends \a firstBytes and nothing more; all others answer whole.
    void startEngines(const std::string &firstBytes = "")
    {
        const auto script = [this, firstBytes](const Http::MessageHead &head, const std::string &) {
            if (runs() == 1) {
                return WorkerScript{firstBytes.empty() ? "" : streamHead(head) + firstBytes};
            }
            return WorkerScript{wholeStream(head, head.field("Last-Event-Id")->empty() ? 1 : std::stoi(*head.field("Last-Event-Id")) + 1)};
        };
        m_relay->setConfiguration(configuration());
        for (std::size_t engine = 0; engine < engines; ++engine) {
            addWorker(script);
            const std::string id = "server-" + std::to_string(engine + 1);
            m_relay->fleet().servers().set({id, "s", m_workers[engine]->address(), "hall", 6, false, {{"m", 1}}});
            m_reporting.insert(engine);
        }
        EXPECT_TRUE(m_relay->fleet().recordWeightsAnnouncement("m", 1, m_loop->now()));
        report();
    }

    void report()
    {
        Decisions::EngineStatus status;
        status.weights = {{"m", 1}};
        status.totalTokens = 100'000;
        for (const std::size_t engine : m_reporting) {
            m_relay->fleet().updateStatus(m_workers[engine]->address(), status, m_loop->now());
        }
        m_reports.startAt(m_loop->now() + reportInterval);
    }

    // Sends a request that reaches an engine, whose agent falls silent at once.
    std::unique_ptr<CallerFake> callerAtSilentEngine(const std::string &path, const std::string &fields = "")
    {
        auto client = caller();
        client->send(request(path, "Model: m\r\n" + fields));
        EXPECT_TRUE(runUntil(*m_loop, [&] { return runs() == 1; }));
        m_silent = runningEngine();
        m_reporting.erase(m_silent);
        return client;
    }

    std::size_t runningEngine() const
    {
        const auto busy = std::find_if(m_workers.begin(), m_workers.end(), [](const auto &worker) { return !worker->heads().empty(); });
        return static_cast<std::size_t>(busy - m_workers.begin());
    }

    // Returns whether \a client got a whole answer before callers give up.
    bool isAnsweredInTime(const CallerFake &client)
    {
        const Core::TimePoint end = m_loop->now() + patience;
        EXPECT_TRUE(runUntil(*m_loop, [&] { return m_loop->now() >= end || contains(client.received(), "\r\n0\r\n\r\n"); }));
        return contains(client.received(), "\r\n0\r\n\r\n");
    }

    EventLoop::Timer m_reports;
    std::set<std::size_t> m_reporting; ///< Engines whose agents report.
    std::size_t m_silent = 0; ///< Engine whose agent fell silent.
};

// A request waited at an engine that stood still until its caller left, and the engine ran it for nobody when it woke.
TEST_F(SilentEnginesTest, keepNoRequestThatAnotherEngineCanServe)
{
    startEngines();
    const auto client = callerAtSilentEngine("/resume/");
    EXPECT_TRUE(isAnsweredInTime(*client)) << client->received();
    EXPECT_EQ(runs(), 2U);
    EXPECT_EQ(m_workers[m_silent]->openCount(), 0U);
}

TEST_F(SilentEnginesTest, keepNoStreamThatCanGoOnElsewhere)
{
    startEngines(chunk(event(1)));
    const auto client = callerAtSilentEngine("/resume/");
    EXPECT_TRUE(isAnsweredInTime(*client)) << client->received();
    for (int id = 1; id <= 3; ++id) {
        EXPECT_TRUE(contains(client->received(), event(id)));
        EXPECT_EQ(client->received().find(event(id)), client->received().rfind(event(id)));
    }
}

// What may run once only stays: the engine may have begun it, and answers when it wakes.
TEST_F(SilentEnginesTest, keepWhatMayRunOnlyOnce)
{
    startEngines();
    const auto client = callerAtSilentEngine("/stream/");
    runFor(wakeTime);
    EXPECT_EQ(runs(), 1U);
    m_workers[m_silent]->sendMore(wholeStream(m_workers[m_silent]->heads().front(), 1));
    EXPECT_TRUE(isAnsweredInTime(*client)) << client->received();
}

// Its caller learns that it is lost once the engine counts as lost, neither before nor when its patience has long ended.
TEST_F(SilentEnginesTest, loseWhatMayRunOnlyOnceIfTheyDoNotWake)
{
    startEngines();
    const auto client = callerAtSilentEngine("/stream/");
    runFor(wakeTime);
    EXPECT_EQ(client->received(), "");
    runFor(lostTime + lostTolerance - wakeTime);
    EXPECT_TRUE(contains(client->received(), "HTTP/1.1 502")) << client->received();
    EXPECT_EQ(runs(), 1U);
}

// Each router sent two requests to each engine whose agent was silent, which was all that many routers send there in seconds.
TEST_F(SilentEnginesTest, getNoNewRequests)
{
    startEngines();
    m_relay->recordRouters({"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6"});
    const auto client = callerAtSilentEngine("/resume/");
    EXPECT_TRUE(isAnsweredInTime(*client));
    const std::size_t before = m_workers[m_silent]->heads().size();
    for (int count = 0; count < 40; ++count) {
        EXPECT_TRUE(contains(call(request("/resume/", "Model: m\r\n"), "\r\n0\r\n\r\n"), event(2)));
    }
    EXPECT_EQ(m_workers[m_silent]->heads().size(), before);
}

// A router that hears of no agent is cut off itself.
TEST_F(SilentEnginesTest, areNoneWhileNoAgentIsHeard)
{
    startEngines();
    const auto client = callerAtSilentEngine("/resume/");
    m_reporting.clear();
    runFor(patience);
    EXPECT_EQ(runs(), 1U);
    EXPECT_FALSE(client->isClosed());
}

// The agent is dead, and its engine sound.
TEST_F(SilentEnginesTest, areNoneThatAnswer)
{
    startEngines();
    const auto client = callerAtSilentEngine("/once/");
    runFor(1s);
    m_workers[m_silent]->sendMore(streamHead(m_workers[m_silent]->heads().front()));
    m_workers[m_silent]->sendMore(chunk(event(1)));
    bool isUsed = false;
    for (int count = 0; count < 40 && !isUsed; ++count) {
        EXPECT_TRUE(contains(call(request("/resume/", "Model: m\r\n"), "\r\n0\r\n\r\n"), event(2)));
        isUsed = m_workers[m_silent]->heads().size() > 1;
    }
    EXPECT_TRUE(isUsed);
}

// Requests were taken off sound engines, or answered as lost, while only the agent beside them was restarted.
TEST_F(SilentEnginesTest, areThoseWhoseAgentsEndAsPlanned)
{
    startEngines();
    const auto client = callerAtSilentEngine("/stream/");
    m_relay->fleet().handleAgentEnd(m_workers[m_silent]->address());
    runFor(lostTime + lostTolerance);
    EXPECT_EQ(client->received(), "");
    m_workers[m_silent]->sendMore(wholeStream(m_workers[m_silent]->heads().front(), 1));
    EXPECT_TRUE(isAnsweredInTime(*client)) << client->received();
    EXPECT_EQ(runs(), 1U);
}

// With few resends left, the caller that will leave first was not the first to be helped.
TEST_F(SilentEnginesTest, giveUpTheMostUrgentRequestFirst)
{
    Relay::RelaySettings scarce = settings();
    scarce.resend = {1.9, 0, 10s}; // One resend for two requests.
    m_relay = std::move(Relay::RelayTask::create(*m_loop, scarce, m_protocol).value());
    EXPECT_TRUE(m_relay->listen());
    const auto hang = [](const Http::MessageHead &, const std::string &) {
        return WorkerScript{};
    };
    m_relay->setConfiguration(configuration());
    addWorker(hang);
    m_relay->fleet().servers().set({"server-1", "s", m_workers[0]->address(), "hall", 6, false, {{"m", 1}}});
    EXPECT_TRUE(m_relay->fleet().recordWeightsAnnouncement("m", 1, m_loop->now()));
    m_reporting = {0};
    report();
    const auto patient = caller();
    patient->send(request("/resume/", "Model: m\r\nDeadline: 15000\r\n"));
    EXPECT_TRUE(runUntil(*m_loop, [&] { return runs() == 1; }));
    const auto urgent = caller();
    urgent->send(request("/resume/", "Model: m\r\nDeadline: 5000\r\n"));
    EXPECT_TRUE(runUntil(*m_loop, [&] { return runs() == 2; }));
    addWorker([](const Http::MessageHead &head, const std::string &) { return WorkerScript{wholeStream(head, 1)}; });
    m_relay->fleet().servers().set({"server-2", "s", m_workers[1]->address(), "hall", 6, false, {{"m", 1}}});
    m_reporting = {1};
    EXPECT_TRUE(isAnsweredInTime(*urgent));
    EXPECT_FALSE(contains(patient->received(), event(1)));
}

} // namespace

} // namespace Verbena::Relay
