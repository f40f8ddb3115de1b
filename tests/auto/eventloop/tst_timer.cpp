#include <eventloop/iowatcher.h>
#include <eventloop/loop.h>
#include <eventloop/timer.h>

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include <sys/time.h>
#include <unistd.h>

namespace Verbena::EventLoop {

namespace {

using namespace std::chrono_literals;

std::array<int, 2> ends{};

// Stands still as a stopped process does, while a byte arrives, and interrupts the loop's wait.
void standStill(int)
{
    std::this_thread::sleep_for(100ms);
    (void)!write(ends[1], "x", 1);
}

/// \brief A pipe and a timer of one loop; the order in which they are handled is recorded.
class TimerTest : public testing::Test
{
protected:
    TimerTest()
        : m_loop(std::move(Loop::create().value()))
    {
        EXPECT_EQ(pipe(ends.data()), 0);
        m_reader = std::make_unique<IoWatcher>(*m_loop, ends[0], [this](int) {
            char byte = 0;
            (void)!read(ends[0], &byte, 1);
            m_order += 'r';
        });
        m_reader->start(EV_READ);
        m_timer = std::make_unique<Timer>(*m_loop, [this] {
            m_order += 't';
            m_loop->stop();
        });
    }

    ~TimerTest() override
    {
        m_reader.reset();
        close(ends[0]);
        close(ends[1]);
    }

    std::unique_ptr<Loop> m_loop;
    std::unique_ptr<IoWatcher> m_reader;
    std::unique_ptr<Timer> m_timer;
    std::string m_order;
};

// A timer that expired in the same iteration as a byte arrived decided before the byte was read.
TEST_F(TimerTest, expiresAfterWhatHasArrivedIsRead)
{
    m_timer->startAt(m_loop->now());
    (void)!write(ends[1], "x", 1);
    m_loop->run();
    EXPECT_EQ(m_order, "rt");
}

// A process that was stopped ran its timers before it asked what had arrived meanwhile.
TEST_F(TimerTest, expiresAfterWhatHasArrivedWhileTheProcessStoodStill)
{
    struct sigaction action
    {
    };
    struct sigaction before
    {
    };
    action.sa_handler = &standStill;
    ASSERT_EQ(sigaction(SIGALRM, &action, &before), 0);
    const itimerval soon{{0, 0}, {0, 20'000}};
    ASSERT_EQ(setitimer(ITIMER_REAL, &soon, nullptr), 0);
    m_timer->startAt(m_loop->now() + 50ms);
    m_loop->run();
    EXPECT_EQ(m_order, "rt");
    ASSERT_EQ(sigaction(SIGALRM, &before, nullptr), 0);
}

// A late timer decided after one iteration, which asks for 64 descriptors at most.
TEST_F(TimerTest, expiresAfterAllOfManyDescriptorsAreRead)
{
    constexpr std::size_t count = 200;
    std::vector<std::array<int, 2>> pipes(count);
    std::vector<std::unique_ptr<IoWatcher>> readers;
    std::size_t readCount = 0;
    for (std::array<int, 2> &pipeEnds : pipes) {
        ASSERT_EQ(pipe(pipeEnds.data()), 0);
        readers.push_back(std::make_unique<IoWatcher>(*m_loop, pipeEnds[0], [&](int) {
            char byte = 0;
            (void)!read(pipeEnds[0], &byte, 1);
            ++readCount;
        }));
        readers.back()->start(EV_READ);
        (void)!write(pipeEnds[1], "x", 1);
    }
    std::size_t readBefore = 0;
    Timer late(*m_loop, [&] {
        readBefore = readCount;
        m_loop->stop();
    });
    late.startAt(m_loop->now() - 100ms);
    m_loop->run();
    EXPECT_EQ(readBefore, count);
    readers.clear();
    for (const std::array<int, 2> &pipeEnds : pipes) {
        close(pipeEnds[0]);
        close(pipeEnds[1]);
    }
}

// A timer for a time long past still expires, and once only.
TEST_F(TimerTest, expiresOnceForATimeLongPast)
{
    m_timer->startAt(m_loop->now() - 1h);
    EXPECT_TRUE(m_timer->isActive());
    m_loop->run();
    EXPECT_EQ(m_order, "t");
    EXPECT_FALSE(m_timer->isActive());
}

} // namespace

} // namespace Verbena::EventLoop
