#include <eventloop/loop.h>
#include <eventloop/loopwatchdog.h>
#include <eventloop/timer.h>

#include <gtest/gtest.h>

#include <csignal>
#include <ctime>
#include <thread>

namespace Verbena::EventLoop {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::seconds longestIteration{2};

std::chrono::nanoseconds processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

void computeFor(std::chrono::milliseconds time)
{
    const std::chrono::nanoseconds begin = processorTime();
    while (processorTime() < begin + time) {
    }
}

// Runs a loop with a watchdog whose first iteration is \a work.
void runWatched(const std::function<void(Loop &)> &work)
{
    const auto loop = std::move(Loop::create().value());
    const auto watchdog = LoopWatchdog::create(*loop, longestIteration, "stuck\n");
    ASSERT_TRUE(watchdog);
    Timer timer(*loop, [&] { work(*loop); });
    timer.startAt(loop->now());
    loop->run();
}

} // namespace

TEST(LoopWatchdogDeathTest, processComputesWithoutEnd)
{
    const auto computeWithoutEnd = [](Loop &) {
        computeFor(1min);
    };
    EXPECT_EXIT(runWatched(computeWithoutEnd), testing::ExitedWithCode(LoopWatchdog::exitStatus), "stuck");
}

// The signals were blocked by what had started the process, and nothing noticed that it computed without end.
TEST(LoopWatchdogDeathTest, signalsAreBlockedByTheStarter)
{
    const auto computeWithBlockedSignals = [] {
        sigset_t blocked;
        sigfillset(&blocked);
        pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
        runWatched([](Loop &loop) {
            computeFor(10s);
            loop.stop();
        });
    };
    EXPECT_EXIT(computeWithBlockedSignals(), testing::ExitedWithCode(LoopWatchdog::exitStatus), "stuck");
}

TEST(LoopWatchdogTest, leavesShortAndManyIterationsAlone)
{
    int left = 8;
    const auto loop = std::move(Loop::create().value());
    const auto watchdog = LoopWatchdog::create(*loop, longestIteration, "stuck\n");
    ASSERT_TRUE(watchdog);
    std::unique_ptr<Timer> timer;
    timer = std::make_unique<Timer>(*loop, [&] {
        computeFor(500ms);
        if (--left == 0) {
            loop->stop();
        } else {
            timer->startAt(loop->now());
        }
    });
    timer->startAt(loop->now());
    loop->run();
    EXPECT_EQ(left, 0);
}

TEST(LoopWatchdogTest, leavesAnotherThreadsWorkAlone)
{
    runWatched([](Loop &loop) {
        std::thread([] { computeFor(4s); }).join();
        loop.stop();
    });
}

} // namespace Verbena::EventLoop
