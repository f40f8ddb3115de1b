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

/// \brief Batch of running requests with continuous batching. Each step prefills some prompts in part and generates one token for every prefilled request.
class EngineBatch
{
public:
    using Sequences = std::vector<std::unique_ptr<EngineSequence>>;

    /// \brief Creates a batch that updates \a cache and \a runs. \a faults may change at any time.
    EngineBatch(EventLoop::Loop &loop, const EngineOptions &options, PrefixCache &cache, RunList &runs, Faults &faults);

    /// \brief Queues \a sequence by its priority.
    void add(std::unique_ptr<EngineSequence> sequence);

    /// \brief Aborts all runs of the request \a requestId without an answer. Returns whether there was a run.
    bool cancel(const std::string &requestId);

    /// \brief Removes \a run, whose caller has disconnected.
    void remove(RunId run);

    /// \brief Continues after a hang.
    void resume();

    std::size_t runningCount() const;
    std::size_t queuedCount() const;

private:
    void admit();
    void scheduleStep();
    void step();
    void generateNextToken(EngineSequence &sequence);
    void handleTokenGenerated(EngineSequence &sequence);
    void finish(EngineSequence &sequence);
    void abort(EngineSequence &sequence, RunState state);
    void scheduleCrash();
    void removeEnded();

    EventLoop::Loop &m_loop;
    const EngineOptions &m_options;
    PrefixCache &m_cache;
    RunList &m_runs;
    Faults &m_faults;
    std::uint32_t m_prefillBudget; ///< Maximum number of tokens prefilled in one step.
    Sequences m_waiting;
    Sequences m_running;
    std::vector<EngineSequence *> m_ended;
    bool m_isStepping = false;
    bool m_isCrashing = false;
    EventLoop::Timer m_stepTimer;
    EventLoop::Timer m_crashTimer;
};

} // namespace Verbena::Standin
