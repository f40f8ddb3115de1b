#pragma once

#include <core/result.h>
#include <core/time.h>

#include <ev.h>

#include <memory>
#include <vector>

namespace Verbena::EventLoop {

class DeferredCall;

/// \brief One libev loop on the epoll back end, with calls deferred to the end of an iteration.
class Loop
{
public:
    /// \brief Makes a loop. Errors: Internal, if the kernel gives no epoll descriptor.
    static Core::Result<std::unique_ptr<Loop>> create();
    ~Loop();

    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// \brief Runs until stop() is called.
    void run();

    /// \brief Waits for something to happen, handles it, and returns; for callers that do one thing at a time.
    void runOnce();

    /// \brief Makes run() return after the current iteration.
    void stop();

    /// \brief The present moment.
    Core::TimePoint now() const;

    /// \brief The libev loop underneath, for the watchers of this library.
    struct ev_loop *handle() const;

private:
    friend class DeferredCall;

    explicit Loop(struct ev_loop *handle);
    void enqueue(DeferredCall *call);
    void forget(DeferredCall *call);
    void runDeferred();

    struct ev_loop *m_handle;
    ev_prepare m_prepare;
    ev_idle m_idle;
    std::vector<DeferredCall *> m_deferred;
    std::vector<DeferredCall *> m_running;
};

} // namespace Verbena::EventLoop
