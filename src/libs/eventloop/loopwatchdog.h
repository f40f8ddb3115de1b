#pragma once

#include <core/result.h>

#include <chrono>
#include <memory>
#include <string>

namespace Verbena::EventLoop {

class Loop;

/// \brief Ends the process, with the stack on standard error, if one iteration of its loop computes for too long.
///
/// Only processor time of the loop's thread counts, so that a process that waits, is stopped or gets no processor is left alone. There is one watchdog for a
/// process at a time, in the thread of its loop. Work that goes on from one iteration to the next without end is not noticed.
class LoopWatchdog
{
public:
    /// \brief Exit status of a process that was ended.
    static constexpr int exitStatus = 3;

    /// \brief Watches \a loop, which must outlive the watchdog; an iteration may take \a longestIteration of processor time.
    /// \a report is written before the stack. Errors: Unavailable, if the system has no timer that counts processor time.
    static Core::Result<std::unique_ptr<LoopWatchdog>> create(Loop &loop, std::chrono::seconds longestIteration, const std::string &report);
    ~LoopWatchdog();

    LoopWatchdog(const LoopWatchdog &) = delete;
    LoopWatchdog &operator=(const LoopWatchdog &) = delete;

private:
    LoopWatchdog() = default;
};

} // namespace Verbena::EventLoop
