#pragma once

#include <functional>

namespace Verbena::EventLoop {

class Loop;

/// \brief A function call that runs once before the loop blocks next, regardless of how often it was scheduled.
class DeferredCall
{
public:
    DeferredCall(Loop &loop, std::function<void()> callback);
    ~DeferredCall();

    DeferredCall(const DeferredCall &) = delete;
    DeferredCall &operator=(const DeferredCall &) = delete;

    void schedule();

private:
    friend class Loop;
    void run();

    Loop &m_loop;
    std::function<void()> m_callback;
    bool m_scheduled = false;
};

} // namespace Verbena::EventLoop
