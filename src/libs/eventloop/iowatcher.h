#pragma once

#include <ev.h>

#include <functional>

namespace Verbena::EventLoop {

class Loop;

/// \brief Calls back while a descriptor it does not own is ready; events are EV_READ and EV_WRITE.
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
    Loop &m_loop;
    int m_descriptor;
    std::function<void(int)> m_callback;
    ev_io m_watcher;
};

} // namespace Verbena::EventLoop
