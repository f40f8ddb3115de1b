#include "deferredcall.h"

#include "loop.h"

namespace Verbena::EventLoop {

DeferredCall::DeferredCall(Loop &loop, std::function<void()> callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
}

DeferredCall::~DeferredCall()
{
    m_loop.remove(this);
}

void DeferredCall::schedule()
{
    if (m_scheduled) {
        return;
    }
    m_scheduled = true;
    m_loop.enqueue(this);
}

void DeferredCall::run()
{
    m_scheduled = false;
    m_callback();
}

} // namespace Verbena::EventLoop
