#include "signalwatcher.h"

#include <cerrno>
#include <csignal>
#include <cstring>

#include <pthread.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace Verbena::EventLoop {

// A signal that came before is pending if the program has blocked it, and is read in the loop's first iteration.
Core::Result<std::unique_ptr<SignalWatcher>> SignalWatcher::create(Loop &loop, int signalNumber, std::function<void()> callback)
{
    sigset_t watched;
    sigemptyset(&watched);
    sigaddset(&watched, signalNumber);
    const int descriptor = signalfd(-1, &watched, SFD_NONBLOCK | SFD_CLOEXEC);
    if (descriptor < 0) {
        return Core::Error{Core::ErrorCode::Internal, "eventloop.signal", "", std::strerror(errno)};
    }
    (void)pthread_sigmask(SIG_BLOCK, &watched, nullptr);
    return std::unique_ptr<SignalWatcher>(new SignalWatcher(loop, descriptor, std::move(callback)));
}

SignalWatcher::SignalWatcher(Loop &loop, int descriptor, std::function<void()> callback)
    : m_descriptor(descriptor)
    , m_callback(std::move(callback))
    , m_watcher(loop, descriptor, [this](int) { read(); })
{
    m_watcher.start(EV_READ);
}

// The signal stays blocked: its default effect would end a process that is shutting down.
SignalWatcher::~SignalWatcher()
{
    m_watcher.stop();
    close(m_descriptor);
}

// Reads one signal: they may come faster than they are read.
void SignalWatcher::read()
{
    signalfd_siginfo received{};
    if (::read(m_descriptor, &received, sizeof received) == static_cast<ssize_t>(sizeof received)) {
        m_callback();
    }
}

} // namespace Verbena::EventLoop
