#include "serverwait.h"

#include <eventloop/loop.h>

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// Callers give up a stream that pauses for longer than about two seconds.
constexpr milliseconds maximumWait{1500};

} // namespace

ServerWait::ServerWait(EventLoop::Loop &loop, std::function<void()> done)
    : m_loop(loop)
    , m_timer(loop, std::move(done))
{
}

bool ServerWait::start(milliseconds delay, Core::TimePoint latest)
{
    const Core::TimePoint now = m_loop.now();
    if (!m_deadline.has_value()) {
        m_deadline = std::min(now + maximumWait, latest);
    }
    if (now + delay > *m_deadline) {
        return false;
    }
    m_timer.startAt(now + delay);
    return true;
}

void ServerWait::handleSent()
{
    m_deadline.reset();
}

void ServerWait::stop()
{
    m_timer.stop();
}

} // namespace Verbena::Relay
