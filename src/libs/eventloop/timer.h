#pragma once

#include <core/time.h>

#include <ev.h>

#include <functional>

namespace Verbena::EventLoop {

class Loop;

/// \brief A timer that calls a function once at a given time.
class Timer
{
public:
    Timer(Loop &loop, std::function<void()> callback);
    ~Timer();

    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// \brief Starts the timer, replacing an earlier start. If \a time is in the past, it expires as soon as possible.
    void startAt(Core::TimePoint time);

    void stop();
    bool isActive() const;

private:
    Loop &m_loop;
    std::function<void()> m_callback;
    ev_timer m_watcher;
};

} // namespace Verbena::EventLoop
