#pragma once

#include <ev.h>

#include <functional>

namespace Verbena::EventLoop {

class Loop;

/// \brief Watcher that calls a function on the loop each time the process receives a signal. Unblocks the signal in the calling thread while the watcher
/// exists, and blocks it afterwards.
class SignalWatcher
{
public:
    SignalWatcher(Loop &loop, int signalNumber, std::function<void()> callback);
    ~SignalWatcher();

    SignalWatcher(const SignalWatcher &) = delete;
    SignalWatcher &operator=(const SignalWatcher &) = delete;

private:
    void setBlocked(bool isBlocked) const;

    Loop &m_loop;
    std::function<void()> m_callback;
    ev_signal m_watcher;
};

} // namespace Verbena::EventLoop
