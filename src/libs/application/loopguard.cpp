#include "loopguard.h"

#include "processevents.h"

#include <observe/eventlog.h>

#include <string>

namespace Verbena::Application {

namespace {

// Many times what any iteration computes; callers have given up by then.
constexpr std::chrono::seconds longestIteration{5};

// Written past the log, which may be what computes.
std::string reportLine()
{
    return "ERROR " + std::to_string(processStuck.number) + ' ' + processStuck.name + ' ' + processStuck.text + '\n';
}

} // namespace

std::unique_ptr<EventLoop::LoopWatchdog> watchLoop(EventLoop::Loop &loop)
{
    auto watchdog = EventLoop::LoopWatchdog::create(loop, longestIteration, reportLine());
    if (!watchdog) {
        Observe::log(processUnwatched, watchdog.error());
        return nullptr;
    }
    return std::move(watchdog.value());
}

} // namespace Verbena::Application
