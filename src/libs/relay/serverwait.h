#pragma once

#include <eventloop/timer.h>

#include <chrono>
#include <functional>
#include <optional>

namespace Verbena::Relay {

/// \brief Lets a request that this router took off a backend server, or a stream that has begun, wait for one that can take it.
class ServerWait
{
public:
    /// \brief \a done is called at the end of each wait.
    ServerWait(EventLoop::Loop &loop, std::function<void()> done);

    ServerWait(const ServerWait &) = delete;
    ServerWait &operator=(const ServerWait &) = delete;

    /// \brief Waits for \a delay. Returns false if that would end later than all waits for the current call may, or than \a latest.
    bool start(std::chrono::milliseconds delay, Core::TimePoint latest);

    /// \brief Ends the waits for the current call, which has been sent.
    void handleSent();

    /// \brief Stops waiting without calling back.
    void stop();

private:
    EventLoop::Loop &m_loop;
    EventLoop::Timer m_timer;
    std::optional<Core::TimePoint> m_deadline; ///< Latest end of all waits for the current call; nothing before the first one.
};

} // namespace Verbena::Relay
