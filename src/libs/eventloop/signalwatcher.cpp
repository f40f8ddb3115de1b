#include "signalwatcher.h"

#include "loop.h"

#include <csignal>

#include <pthread.h>

namespace Verbena::EventLoop {

SignalWatcher::SignalWatcher(Loop &loop, int signalNumber, std::function<void()> callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    ev_signal_init(
        &m_watcher, [](struct ev_loop *, ev_signal *watcher, int) { static_cast<SignalWatcher *>(watcher->data)->m_callback(); }, signalNumber);
    m_watcher.data = this;
    ev_signal_start(m_loop.handle(), &m_watcher);
    // A signal that came before is pending if the program has blocked it, and is handled now.
    setBlocked(false);
}

// Without its watcher the signal would have its default effect, and end a process that is shutting down.
SignalWatcher::~SignalWatcher()
{
    setBlocked(true);
    ev_signal_stop(m_loop.handle(), &m_watcher);
}

void SignalWatcher::setBlocked(bool isBlocked) const
{
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, m_watcher.signum);
    (void)pthread_sigmask(isBlocked ? SIG_BLOCK : SIG_UNBLOCK, &handled, nullptr);
}

} // namespace Verbena::EventLoop
