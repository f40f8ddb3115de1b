#include "startsignals.h"

#include <csignal>

#include <pthread.h>

namespace Verbena::Application {

void prepareSignals()
{
    sigset_t held;
    sigemptyset(&held);
    sigaddset(&held, SIGHUP);
    sigaddset(&held, SIGTERM);
    sigaddset(&held, SIGINT);
    (void)pthread_sigmask(SIG_BLOCK, &held, nullptr);
    // The reader of a pipe or the peer of a connection may go away at any time; the failed write says so.
    (void)std::signal(SIGPIPE, SIG_IGN);
}

bool isEndRequested()
{
    sigset_t pending;
    sigemptyset(&pending);
    if (sigpending(&pending) != 0) {
        return false;
    }
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

} // namespace Verbena::Application
