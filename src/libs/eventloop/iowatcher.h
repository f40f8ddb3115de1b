#pragma once

#include <ev.h>

#include <functional>

namespace Verbena::EventLoop {

class Loop;

/// \brief Watcher that calls a function while a file descriptor is ready. Events are EV_READ and EV_WRITE. It does not own the descriptor.
class IoWatcher
{
public:
    IoWatcher(Loop &loop, int descriptor, std::function<void(int events)> callback);
    ~IoWatcher();

    IoWatcher(const IoWatcher &) = delete;
    IoWatcher &operator=(const IoWatcher &) = delete;

    void start(int events);
    void stop();

private:
    void handle(int events);

    Loop &m_loop;
    int m_descriptor;
    std::function<void(int)> m_callback;
    ev_io m_watcher;
};

} // namespace Verbena::EventLoop
