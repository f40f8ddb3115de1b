#include <eventloop/loop.h>
#include <eventloop/signalwatcher.h>
#include <eventloop/timer.h>

#include <gtest/gtest.h>

#include <csignal>

namespace Verbena::EventLoop {

namespace {

bool isPending(int signalNumber)
{
    sigset_t pending;
    sigemptyset(&pending);
    sigpending(&pending);
    return sigismember(&pending, signalNumber) == 1;
}

class SignalWatcherTest : public testing::Test
{
protected:
    SignalWatcherTest()
        : m_loop(std::move(Loop::create().value()))
    {
    }

    std::unique_ptr<SignalWatcher> watch(int signalNumber, std::function<void()> callback)
    {
        return std::move(SignalWatcher::create(*m_loop, signalNumber, std::move(callback)).value());
    }

    std::unique_ptr<Loop> m_loop;
};

} // namespace

// Each of many signals interrupted what the loop computed, so that it did not get on.
TEST_F(SignalWatcherTest, workIsInterruptedBySignals)
{
    bool wasHeld = false;
    const auto watcher = watch(SIGHUP, [this] { m_loop->stop(); });
    Timer timer(*m_loop, [&] {
        (void)raise(SIGHUP);
        wasHeld = isPending(SIGHUP);
    });
    timer.startAt(m_loop->now());
    m_loop->run();
    EXPECT_TRUE(wasHeld);
    EXPECT_FALSE(isPending(SIGHUP));
}

TEST_F(SignalWatcherTest, leavesTheIterationThoughSignalsGoOn)
{
    int signals = 0;
    int iterations = 0;
    const auto watcher = watch(SIGUSR1, [&] {
        ++signals;
        (void)raise(SIGUSR1);
    });
    std::unique_ptr<Timer> timer;
    timer = std::make_unique<Timer>(*m_loop, [&] {
        if (++iterations == 4) {
            m_loop->stop();
        }
        timer->startAt(m_loop->now());
    });
    (void)raise(SIGUSR1);
    timer->startAt(m_loop->now());
    m_loop->run();
    EXPECT_GE(signals, 1);
    EXPECT_EQ(iterations, 4);
}

TEST_F(SignalWatcherTest, leavesTheSignalBlockedAtItsEnd)
{
    watch(SIGTERM, [] {}).reset();
    (void)raise(SIGTERM);
    EXPECT_TRUE(isPending(SIGTERM));
    const auto next = watch(SIGTERM, [this] { m_loop->stop(); });
    m_loop->run();
    EXPECT_FALSE(isPending(SIGTERM));
}

} // namespace Verbena::EventLoop
