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
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, signalNumber);
    (void)pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
}

SignalWatcher::~SignalWatcher()
{
    ev_signal_stop(m_loop.handle(), &m_watcher);
}

} // namespace Verbena::EventLoop
