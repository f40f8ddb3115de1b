#pragma once

#include <core/time.h>

#include <ev.h>

#include <functional>

namespace Verbena::EventLoop {

class Loop;

/// \brief Calls back once at a moment.
class Timer
{
public:
    Timer(Loop &loop, std::function<void()> callback);
    ~Timer();

    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// \brief Sets the moment, in place of an earlier one. A moment in the past means as soon as possible.
    void startAt(Core::TimePoint moment);

    void stop();
    bool isActive() const;

private:
    Loop &m_loop;
    std::function<void()> m_callback;
    ev_timer m_watcher;
};

} // namespace Verbena::EventLoop
