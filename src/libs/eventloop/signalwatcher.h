#pragma once

#include "iowatcher.h"

#include <core/result.h>

#include <functional>
#include <memory>

namespace Verbena::EventLoop {

class Loop;

/// \brief Watcher that calls a function on the loop each time the process receives a signal.
///
/// The signal is blocked in the calling thread from then on, also after the end of the watcher, and read in the turn of a descriptor: it never interrupts what
/// the loop computes, however often it comes. Threads that were started before must have it blocked.
class SignalWatcher
{
public:
    /// \brief Watches \a signalNumber; the loop must outlive the watcher. Errors: Internal, if no descriptor is left.
    static Core::Result<std::unique_ptr<SignalWatcher>> create(Loop &loop, int signalNumber, std::function<void()> callback);
    ~SignalWatcher();

    SignalWatcher(const SignalWatcher &) = delete;
    SignalWatcher &operator=(const SignalWatcher &) = delete;

private:
    SignalWatcher(Loop &loop, int descriptor, std::function<void()> callback);
    void read();

    int m_descriptor;
    std::function<void()> m_callback;
    IoWatcher m_watcher;
};

} // namespace Verbena::EventLoop
