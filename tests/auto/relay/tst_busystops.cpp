#include "relaytest.h"

#include <eventloop/iowatcher.h>

#include <array>
#include <thread>

#include <unistd.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Test::answer;
using Test::CallerFake;
using Test::contains;
using Test::RelayTest;
using Test::runUntil;
using Test::WorkerScript;

constexpr auto iterationTime = 150ms; // Longer than any timer waits for its next turn, so that each is late from the first iteration on.
constexpr int iterationsBeforeStop = 6;
constexpr auto workAfterStop = 1300ms;

/// \brief A relay that always has more to read than it handles in one iteration of its event loop.
class BusyStopTest : public RelayTest
{
protected:
    BusyStopTest()
    {
        RelaySettings shortGrace = settings();
        shortGrace.shutdownGrace = 2s;
        m_relay = std::move(RelayTask::create(*m_loop, shortGrace, m_protocol).value());
        EXPECT_TRUE(m_relay->listen());
        EXPECT_EQ(pipe(m_ends.data()), 0);
        EXPECT_EQ(write(m_ends[1], "x", 1), 1);
    }

    ~BusyStopTest() override
    {
        m_unread.reset();
        close(m_ends[0]);
        close(m_ends[1]);
    }

    // Asks the relay to end while it is busy; it is so for \a iterationsAfter iterations more.
    void stopWhileBusy(int iterationsAfter = 0)
    {
        m_unread = std::make_unique<EventLoop::IoWatcher>(*m_loop, m_ends[0], [this, iterationsAfter](int) {
            m_loop->recordUnreadInput();
            std::this_thread::sleep_for(iterationTime);
            ++m_iterations;
            if (m_iterations == iterationsBeforeStop) {
                m_relay->beginShutdown([] {});
            }
            if (m_iterations == iterationsBeforeStop + iterationsAfter) {
                m_unread->stop();
            }
        });
        m_unread->start(EV_READ);
        EXPECT_TRUE(runUntil(*m_loop, [this] { return m_iterations == iterationsBeforeStop; }));
    }

    int m_iterations = 0;
    std::array<int, 2> m_ends{};
    std::unique_ptr<EventLoop::IoWatcher> m_unread;
};

} // namespace

// A busy router took the time for which its timers had waited off its grace period, and cut what would have ended in time.
TEST_F(BusyStopTest, answerIsCutLongBeforeTheEndOfTheGracePeriod)
{
    start([](const auto &, const auto &) { return WorkerScript{}; });
    const std::unique_ptr<CallerFake> client = caller();
    client->send(request("/once/"));
    ASSERT_TRUE(runUntil(*m_loop, [this] { return runs() == 1; }));
    stopWhileBusy();
    runFor(workAfterStop);
    m_workers[0]->sendMore(answer(m_workers[0]->heads().front(), "whole"));
    EXPECT_TRUE(runUntil(*m_loop, [&client] { return contains(client->received(), "\r\n\r\n"); }));
    EXPECT_TRUE(client->received().starts_with("HTTP/1.1 200")) << client->received();
}

// A busy router took requests long after its notice, and had no time left to answer them.
TEST_F(BusyStopTest, newCallersAreTakenAfterTheNotice)
{
    constexpr int iterationsAfter = 7; // Fewer than those for which a timer waits.
    start([](const auto &head, const auto &) { return WorkerScript{answer(head, "ok")}; });
    stopWhileBusy(iterationsAfter);
    ASSERT_TRUE(runUntil(*m_loop, [this] { return m_iterations == iterationsBeforeStop + 1; }));
    const std::unique_ptr<CallerFake> first = caller();
    first->send(request("/once/"));
    ASSERT_TRUE(runUntil(*m_loop, [&first] { return contains(first->received(), "\r\n\r\n"); }));
    EXPECT_TRUE(first->received().starts_with("HTTP/1.1 503")) << first->received();
    const std::unique_ptr<CallerFake> second = caller();
    second->send(request("/once/"));
    ASSERT_TRUE(runUntil(*m_loop, [&second] { return second->isClosed(); }));
    EXPECT_EQ(second->received(), "");
    EXPECT_LT(m_iterations, iterationsBeforeStop + iterationsAfter);
    EXPECT_EQ(runs(), 0U);
}

} // namespace Verbena::Relay
