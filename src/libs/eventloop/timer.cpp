#include "timer.h"

#include "loop.h"

#include <algorithm>

namespace Verbena::EventLoop {

Timer::Timer(Loop &loop, std::function<void()> callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    ev_timer_init(
        &m_watcher, [](struct ev_loop *, ev_timer *watcher, int) { static_cast<Timer *>(watcher->data)->m_callback(); }, 0., 0.);
    m_watcher.data = this;
}

Timer::~Timer()
{
    stop();
}

void Timer::startAt(Core::TimePoint time)
{
    stop();
    // libev timers are relative to the start of the iteration, which may be well before this call.
    ev_now_update(m_loop.handle());
    const std::chrono::duration<double> left = time - m_loop.now();
    ev_timer_set(&m_watcher, std::max(0., left.count()), 0.);
    ev_timer_start(m_loop.handle(), &m_watcher);
}

void Timer::stop()
{
    ev_timer_stop(m_loop.handle(), &m_watcher);
}

bool Timer::isActive() const
{
    return ev_is_active(&m_watcher);
}

} // namespace Verbena::EventLoop
