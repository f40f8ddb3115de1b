#include "iowatcher.h"

#include "loop.h"

namespace Verbena::EventLoop {

IoWatcher::IoWatcher(Loop &loop, int descriptor, std::function<void(int)> callback)
    : m_loop(loop)
    , m_descriptor(descriptor)
    , m_callback(std::move(callback))
{
    ev_io_init(
        &m_watcher, [](struct ev_loop *, ev_io *watcher, int events) { static_cast<IoWatcher *>(watcher->data)->handle(events); }, descriptor, EV_READ);
    m_watcher.data = this;
    // What has arrived is read before a timer that expires in the same iteration decides on it.
    ev_set_priority(&m_watcher, EV_MAXPRI);
}

IoWatcher::~IoWatcher()
{
    stop();
}

void IoWatcher::handle(int events)
{
    m_loop.countReadyDescriptor();
    m_callback(events);
}

void IoWatcher::start(int events)
{
    stop();
    ev_io_set(&m_watcher, m_descriptor, events);
    ev_io_start(m_loop.handle(), &m_watcher);
}

void IoWatcher::stop()
{
    ev_io_stop(m_loop.handle(), &m_watcher);
}

} // namespace Verbena::EventLoop
