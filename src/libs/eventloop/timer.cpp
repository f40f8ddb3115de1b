#include "timer.h"

#include "loop.h"

#include <algorithm>

namespace Verbena::EventLoop {

namespace {

// A timer that expires later than this after its time belongs to a process that was stopped or busy.
constexpr std::chrono::milliseconds lateThreshold{20};

// Number of iterations for which a late timer waits at most, so that a flood cannot hold it back.
constexpr int maximumPostponements = 8;

} // namespace

Timer::Timer(Loop &loop, std::function<void()> callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    ev_timer_init(
        &m_watcher, [](struct ev_loop *, ev_timer *watcher, int) { static_cast<Timer *>(watcher->data)->expire(); }, 0., 0.);
    m_watcher.data = this;
}

Timer::~Timer()
{
    stop();
}

void Timer::startAt(Core::TimePoint time)
{
    stop();
    m_time = time;
    // libev timers are relative to the start of the iteration, which may be well before this call.
    ev_now_update(m_loop.handle());
    startIn(time - m_loop.now());
}

void Timer::startIn(std::chrono::duration<double> left)
{
    ev_timer_set(&m_watcher, std::max(0., left.count()), 0.);
    ev_timer_start(m_loop.handle(), &m_watcher);
}

// A stopped process returns from waiting by the signal that continues it, without having asked which sockets are ready. Its timers wait for one more iteration,
// or until all that had arrived is handled, so that they do not decide only on what was read before.
void Timer::expire()
{
    if (mayPostpone() && m_loop.now() - m_time > lateThreshold) {
        ++m_postponements;
        startIn(std::chrono::seconds(0));
        return;
    }
    m_postponements = 0;
    m_callback();
}

bool Timer::mayPostpone() const
{
    return m_postponements == 0 || (m_loop.mayHaveUnreadInput() && m_postponements < maximumPostponements);
}

void Timer::stop()
{
    m_postponements = 0;
    ev_timer_stop(m_loop.handle(), &m_watcher);
}

bool Timer::isActive() const
{
    return ev_is_active(&m_watcher);
}

} // namespace Verbena::EventLoop
