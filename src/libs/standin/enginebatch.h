#pragma once

#include "engineoptions.h"
#include "enginesequence.h"
#include "prefixcache.h"

#include <eventloop/timer.h>

#include <functional>
#include <memory>
#include <vector>

namespace Verbena::EventLoop {
class Loop;
}

namespace Verbena::Standin {

/// \brief Continuous batching: in each step some prompts are prefilled in part and every prefilled request gets one token.
class EngineBatch
{
public:
    using Sequences = std::vector<std::unique_ptr<EngineSequence>>;

    /// \brief Works on \a cache and \a runs; \a faults may change at any time.
    EngineBatch(EventLoop::Loop &loop, const EngineOptions &options, PrefixCache &cache, RunList &runs, Faults &faults);

    /// \brief Queues a request by its priority.
    void add(std::unique_ptr<EngineSequence> sequence);

    /// \brief Ends all runs of a request without an answer; true if there was one.
    bool cancel(const std::string &requestId);

    /// \brief Forgets one run whose caller has gone.
    void remove(RunId run);

    /// \brief Goes on after a hang.
    void wake();

    std::size_t runningCount() const;
    std::size_t queuedCount() const;

private:
    void admit();
    void planStep();
    void step();
    void advance(EngineSequence &sequence);
    void afterToken(EngineSequence &sequence);
    void finish(EngineSequence &sequence);
    void cut(EngineSequence &sequence, RunState state);
    void crashSoon();
    void removeEnded();

    EventLoop::Loop &m_loop;
    const EngineOptions &m_options;
    PrefixCache &m_cache;
    RunList &m_runs;
    Faults &m_faults;
    std::uint32_t m_prefillBudget; ///< Tokens prefilled in one step.
    Sequences m_waiting;
    Sequences m_running;
    std::vector<EngineSequence *> m_ended;
    bool m_isStepping = false;
    bool m_isCrashing = false;
    EventLoop::Timer m_stepTimer;
    EventLoop::Timer m_crashTimer;
};

} // namespace Verbena::Standin
