#include "loopwatchdog.h"

#include "loop.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <string_view>

#include <execinfo.h>
#include <pthread.h>
#include <sys/time.h>
#include <unistd.h>

namespace Verbena::EventLoop {

namespace {

using std::chrono::nanoseconds;
using std::chrono::seconds;

// Processor time between two checks.
constexpr seconds checkInterval{1};

constexpr int longestStack = 64;
constexpr unsigned longestReportSeconds = 2;

// State of the signal handler, which may use nothing that locks or allocates.
struct Watch
{
    struct ev_loop *loop = nullptr;
    clockid_t clock{}; ///< Counts the processor time of the loop's thread.
    nanoseconds longestIteration{0};
    unsigned iteration = 0; ///< The one that the last check found.
    nanoseconds seenAt{0}; ///< Processor time at which that iteration was first found.
    std::string report;
};

Watch watch;

nanoseconds processorTime()
{
    timespec time{};
    clock_gettime(watch.clock, &time);
    return seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
}

void writeText(std::string_view text)
{
    (void)!write(STDERR_FILENO, text.data(), text.size());
}

// Ends the process also if the report does not end, as nobody reads it or the stack is being changed.
void reportStack()
{
    (void)std::signal(SIGALRM, SIG_DFL);
    alarm(longestReportSeconds);
    writeText(watch.report);
    std::array<void *, longestStack> frames{};
    backtrace_symbols_fd(frames.data(), backtrace(frames.data(), longestStack), STDERR_FILENO);
}

void check(int)
{
    const int errorBefore = errno;
    const unsigned iteration = ev_iteration(watch.loop);
    const nanoseconds now = processorTime();
    if (iteration != watch.iteration) {
        watch.iteration = iteration;
        watch.seenAt = now;
    } else if (now - watch.seenAt >= watch.longestIteration) {
        reportStack();
        _exit(LoopWatchdog::exitStatus);
    }
    errno = errorBefore;
}

// Who starts the process may have blocked them, and a process inherits its signal mask.
bool unblockSignals()
{
    sigset_t used;
    sigemptyset(&used);
    sigaddset(&used, SIGPROF);
    sigaddset(&used, SIGALRM);
    return pthread_sigmask(SIG_UNBLOCK, &used, nullptr) == 0;
}

// The first call loads a library, which the handler may not.
void loadStackLibrary()
{
    std::array<void *, 1> frame{};
    (void)backtrace(frame.data(), static_cast<int>(frame.size()));
}

bool startTimer(seconds interval)
{
    const timeval time{interval.count(), 0};
    const itimerval timer{time, time};
    return setitimer(ITIMER_PROF, &timer, nullptr) == 0;
}

bool handleSignal()
{
    struct sigaction action = {};
    action.sa_handler = check;
    action.sa_flags = SA_RESTART;
    return sigaction(SIGPROF, &action, nullptr) == 0;
}

} // namespace

Core::Result<std::unique_ptr<LoopWatchdog>> LoopWatchdog::create(Loop &loop, seconds longestIteration, const std::string &report)
{
    Watch created;
    created.loop = loop.handle();
    created.longestIteration = longestIteration;
    created.report = report;
    if (pthread_getcpuclockid(pthread_self(), &created.clock) != 0) {
        return Core::Error{Core::ErrorCode::Unavailable, "eventloop.watchdog", "", "The thread has no clock of processor time."};
    }
    created.iteration = ev_iteration(created.loop);
    watch = created;
    watch.seenAt = processorTime();
    loadStackLibrary();
    if (!handleSignal() || !unblockSignals() || !startTimer(checkInterval)) {
        return Core::Error{Core::ErrorCode::Unavailable, "eventloop.watchdog", "", std::strerror(errno)};
    }
    return std::unique_ptr<LoopWatchdog>(new LoopWatchdog);
}

// A signal that is pending still is handled, and ignored.
LoopWatchdog::~LoopWatchdog()
{
    startTimer(seconds(0));
    (void)std::signal(SIGPROF, SIG_IGN);
}

} // namespace Verbena::EventLoop
