#pragma once

#include <core/time.h>

#include <ev.h>

#include <functional>

namespace Verbena::EventLoop {

class Loop;

/// \brief A timer that calls a function once at a given time.
///
/// In an iteration of the loop, descriptors are handled first; a timer that is late waits a bounded number of iterations for what has arrived.
class Timer
{
public:
    Timer(Loop &loop, std::function<void()> callback);
    ~Timer();

    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// \brief Starts the timer, replacing an earlier start. If \a time is in the past, it expires as soon as the descriptors have been handled.
    void startAt(Core::TimePoint time);

    void stop();
    bool isActive() const;

private:
    void startIn(std::chrono::duration<double> left);
    bool mayPostpone() const;
    void expire();

    Loop &m_loop;
    std::function<void()> m_callback;
    Core::TimePoint m_time{};
    int m_postponements = 0; ///< Number of iterations for which the timer has waited after its time for the descriptors to be handled.
    ev_timer m_watcher;
};

} // namespace Verbena::EventLoop
