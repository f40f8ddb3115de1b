#include "loop.h"

#include "deferredcall.h"

#include <algorithm>

namespace Verbena::EventLoop {

namespace {

// Deferred calls may schedule further calls. After this many rounds, the loop polls the file descriptors again.
constexpr int maximumDeferredRounds = 16;

// Number of ready descriptors that libev asks for at once at first; if there were as many, there may be more.
constexpr std::size_t descriptorsPerPoll = 64;

} // namespace

Core::Result<std::unique_ptr<Loop>> Loop::create()
{
    struct ev_loop *handle = ev_loop_new(static_cast<unsigned>(EVBACKEND_EPOLL) | static_cast<unsigned>(EVFLAG_NOENV));
    if (handle == nullptr) {
        return Core::Error{Core::ErrorCode::Internal, "eventloop.create", "", "The epoll back end is not available."};
    }
    return std::unique_ptr<Loop>(new Loop(handle));
}

Loop::Loop(struct ev_loop *handle)
    : m_handle(handle)
    , m_waitBegin(now())
    , m_previousWaitBegin(m_waitBegin)
{
    ev_prepare_init(&m_prepare, [](struct ev_loop *, ev_prepare *watcher, int) { static_cast<Loop *>(watcher->data)->beginIteration(); });
    m_prepare.data = this;
    ev_prepare_start(m_handle, &m_prepare);
    ev_idle_init(&m_idle, [](struct ev_loop *, ev_idle *, int) {});
}

Loop::~Loop()
{
    ev_idle_stop(m_handle, &m_idle);
    ev_prepare_stop(m_handle, &m_prepare);
    ev_loop_destroy(m_handle);
}

void Loop::run()
{
    ev_run(m_handle, 0);
}

void Loop::runOnce()
{
    ev_run(m_handle, EVRUN_ONCE);
}

void Loop::stop()
{
    ev_break(m_handle, EVBREAK_ALL);
}

Core::TimePoint Loop::now() const
{
    return Core::Clock::now();
}

struct ev_loop *Loop::handle() const
{
    return m_handle;
}

void Loop::enqueue(DeferredCall *call)
{
    m_deferred.push_back(call);
}

void Loop::remove(DeferredCall *call)
{
    std::erase(m_deferred, call);
    std::replace(m_running.begin(), m_running.end(), call, static_cast<DeferredCall *>(nullptr));
}

// What came while the previous iteration handled its events is handled by this one. What ended its wait without an event, as a stopped process is woken, too.
Core::TimePoint Loop::previousWaitBegin() const
{
    return m_previousWaitBegin;
}

// Runs once the previous iteration has handled its descriptors and timers.
void Loop::beginIteration()
{
    runDeferred();
    m_previousWaitBegin = m_waitBegin;
    m_waitBegin = now();
    m_readyCount = 0;
    m_hasUnreadInput = false;
}

void Loop::countReadyDescriptor()
{
    ++m_readyCount;
}

void Loop::recordUnreadInput()
{
    m_hasUnreadInput = true;
}

bool Loop::mayHaveUnreadInput() const
{
    return m_hasUnreadInput || m_readyCount >= descriptorsPerPoll;
}

void Loop::runDeferred()
{
    for (int round = 0; round < maximumDeferredRounds && !m_deferred.empty(); ++round) {
        m_running.clear();
        m_running.swap(m_deferred);
        for (std::size_t i = 0; i < m_running.size(); ++i) {
            if (m_running[i] != nullptr) {
                m_running[i]->run();
            }
        }
    }
    m_running.clear();
    // The idle watcher keeps the loop from blocking while deferred calls are pending.
    if (m_deferred.empty()) {
        ev_idle_stop(m_handle, &m_idle);
    } else {
        ev_idle_start(m_handle, &m_idle);
    }
}

} // namespace Verbena::EventLoop
