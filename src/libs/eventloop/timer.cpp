#include "timer.h"

#include "loop.h"

#include <algorithm>

namespace Verbena::EventLoop {

namespace {

// A timer that expires later than this after its time belongs to a process that was stopped or busy.
constexpr std::chrono::milliseconds lateness{20};

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
    const std::chrono::duration<double> left = time - m_loop.now();
    start(left.count());
}

void Timer::start(double seconds)
{
    ev_timer_set(&m_watcher, std::max(0., seconds), 0.);
    ev_timer_start(m_loop.handle(), &m_watcher);
}

// A stopped process returns from waiting by the signal that continues it, without having asked which sockets are ready. Its timers wait for one more iteration,
// or until all that had arrived is handled, so that they do not decide only on what was read before.
void Timer::expire()
{
    const bool isToWait = m_postponements == 0 || (m_loop.mayHaveRemainder() && m_postponements < maximumPostponements);
    if (isToWait && m_loop.now() - m_time > lateness) {
        ++m_postponements;
        start(0);
        return;
    }
    m_postponements = 0;
    m_callback();
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
