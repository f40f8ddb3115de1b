#pragma once

#include <core/result.h>
#include <core/time.h>

#include <ev.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace Verbena::EventLoop {

class DeferredCall;

/// \brief A libev event loop with the epoll back end, which supports calls deferred to the end of an iteration.
class Loop
{
public:
    /// \brief Creates a loop. Errors: Internal, if the kernel provides no epoll descriptor.
    static Core::Result<std::unique_ptr<Loop>> create();
    ~Loop();

    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// \brief Runs until stop() is called.
    void run();

    /// \brief Waits for events, handles them and returns, for callers that process one event at a time.
    void runOnce();

    /// \brief Makes run() return after the current iteration.
    void stop();

    /// \brief Returns the current time.
    Core::TimePoint now() const;

    /// \brief Records that a descriptor has been handled in this iteration.
    void countReadyDescriptor();

    /// \brief Records that more has arrived at a descriptor than is handled in this iteration.
    void recordUnreadInput();

    /// \brief Returns whether more may have arrived than has been handled in this iteration.
    bool mayHaveUnreadInput() const;

    /// \brief Returns when the previous iteration began to wait for events. A signal that is handled now came after that.
    Core::TimePoint previousWaitBegin() const;

    /// \brief Returns the underlying libev loop, for the watchers of this library.
    struct ev_loop *handle() const;

private:
    friend class DeferredCall;

    explicit Loop(struct ev_loop *handle);
    void enqueue(DeferredCall *call);
    void remove(DeferredCall *call);
    void beginIteration();
    void runDeferred();

    struct ev_loop *m_handle;
    ev_prepare m_prepare;
    ev_idle m_idle;
    Core::TimePoint m_waitBegin; ///< When this iteration began to wait for events.
    Core::TimePoint m_previousWaitBegin;
    std::size_t m_readyCount = 0; ///< Number of descriptors that were handled in this iteration.
    bool m_hasUnreadInput = false; ///< As recorded in this iteration.
    std::vector<DeferredCall *> m_deferred;
    std::vector<DeferredCall *> m_running;
};

} // namespace Verbena::EventLoop
