#include "enginebatch.h"

#include <eventloop/loop.h>

#include <algorithm>
#include <cstdlib>

namespace Verbena::Standin {

namespace {

// Minimum prefill budget of a step. A step prefills at most this many tokens, or as many as fit into one decode interval if that is more, so that a long prompt
// doesn't delay the answers to other requests.
constexpr std::uint32_t prefillChunkTokens = 2048;

std::uint32_t prefillBudget(const EngineOptions &options)
{
    const double tokens = std::chrono::duration<double>(options.decodeInterval).count() * options.prefillTokensPerSecond;
    return static_cast<std::uint32_t>(std::max<double>(prefillChunkTokens, std::min<double>(tokens, UINT32_MAX)));
}

// Delay before a crash, so that data written before is sent.
constexpr std::chrono::milliseconds crashDelay{20};

} // namespace

EngineBatch::EngineBatch(EventLoop::Loop &loop, const EngineOptions &options, PrefixCache &cache, RunList &runs, Faults &faults)
    : m_loop(loop)
    , m_options(options)
    , m_cache(cache)
    , m_runs(runs)
    , m_faults(faults)
    , m_prefillBudget(prefillBudget(options))
    , m_stepTimer(loop, [this] { step(); })
    , m_crashTimer(loop, [] { std::_Exit(EXIT_FAILURE); })
{
}

void EngineBatch::add(std::unique_ptr<EngineSequence> sequence)
{
    const auto isLater = [](std::int64_t priority, const auto &other) {
        return priority < other->request().priority;
    };
    const auto place = std::upper_bound(m_waiting.begin(), m_waiting.end(), sequence->request().priority, isLater);
    m_waiting.insert(place, std::move(sequence));
    scheduleStep();
}

bool EngineBatch::cancel(const std::string &requestId)
{
    std::vector<RunId> cancelled;
    for (const Sequences *list : {&m_waiting, &m_running}) {
        for (const auto &sequence : *list) {
            if (sequence->requestId() == requestId) {
                sequence->abort();
                cancelled.push_back(sequence->run());
            }
        }
    }
    for (const RunId run : cancelled) {
        remove(run);
    }
    return !cancelled.empty();
}

void EngineBatch::remove(RunId run)
{
    const auto isRun = [run](const auto &sequence) {
        return sequence->run() == run;
    };
    const std::size_t count = std::erase_if(m_waiting, isRun) + std::erase_if(m_running, isRun);
    if (count > 0) {
        m_runs.setState(run, RunState::Cancelled);
    }
}

void EngineBatch::resume()
{
    scheduleStep();
}

std::size_t EngineBatch::runningCount() const
{
    return m_running.size();
}

std::size_t EngineBatch::queuedCount() const
{
    return m_waiting.size();
}

void EngineBatch::admit()
{
    while (m_running.size() < m_options.batchSize && !m_waiting.empty()) {
        EngineSequence &sequence = *m_waiting.front();
        sequence.beginPrefill(m_cache.lookUp(sequence.request().pieces), m_options.pieceSize);
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.erase(m_waiting.begin());
    }
}

void EngineBatch::scheduleStep()
{
    if (m_isStepping || m_stepTimer.isActive() || m_isCrashing || m_faults.isHanging) {
        return;
    }
    admit();
    if (m_running.empty()) {
        return;
    }
    std::uint32_t prefill = 0;
    bool isDecoding = false;
    for (const auto &sequence : m_running) {
        prefill += sequence->remainingPrefill();
        isDecoding = isDecoding || sequence->remainingPrefill() == 0;
    }
    const double prefillSeconds = static_cast<double>(std::min(prefill, m_prefillBudget)) / m_options.prefillTokensPerSecond;
    const double decodeSeconds = isDecoding ? std::chrono::duration<double>(m_options.decodeInterval).count() : 0;
    const std::chrono::duration<double> duration((prefillSeconds + decodeSeconds) * m_faults.slowFactor);
    m_stepTimer.startAt(m_loop.now() + std::chrono::duration_cast<std::chrono::microseconds>(duration));
}

void EngineBatch::step()
{
    if (m_faults.isHanging || m_isCrashing) {
        return;
    }
    m_isStepping = true;
    std::uint32_t budget = m_prefillBudget;
    // Writing an answer never removes a sequence during this loop, as disconnected callers are reported by the event loop only.
    for (const auto &sequence : m_running) {
        if (m_isCrashing) {
            break;
        }
        if (sequence->remainingPrefill() == 0) {
            generateNextToken(*sequence);
            continue;
        }
        const std::uint32_t share = std::min(budget, sequence->remainingPrefill());
        budget -= share;
        sequence->prefill(share);
        if (share > 0 && sequence->remainingPrefill() == 0) {
            m_cache.store(sequence->request().root, sequence->request().pieces, sequence->requestId(), m_loop.now());
            generateNextToken(*sequence);
        }
    }
    removeEnded();
    m_isStepping = false;
    scheduleStep();
}

void EngineBatch::generateNextToken(EngineSequence &sequence)
{
    if (m_faults.cutAfterTokens && sequence.generatedTokens() >= *m_faults.cutAfterTokens) {
        m_faults.recordOccurrence();
        abort(sequence, RunState::Cancelled);
        return;
    }
    if (!sequence.isComplete()) {
        sequence.generateToken();
    }
    handleTokenGenerated(sequence);
}

void EngineBatch::handleTokenGenerated(EngineSequence &sequence)
{
    if (m_faults.crash == CrashPoint::AtToken && sequence.generatedTokens() >= m_faults.crashToken) {
        scheduleCrash();
        return;
    }
    if (!sequence.isComplete()) {
        return;
    }
    if (m_faults.crash == CrashPoint::AfterLastToken) {
        scheduleCrash();
    } else if (m_faults.isLosingAnswers) {
        m_faults.recordOccurrence();
        abort(sequence, RunState::Finished);
    } else {
        finish(sequence);
    }
}

void EngineBatch::finish(EngineSequence &sequence)
{
    m_runs.setState(sequence.run(), RunState::Finished);
    sequence.finish();
    m_ended.push_back(&sequence);
}

void EngineBatch::abort(EngineSequence &sequence, RunState state)
{
    m_runs.setState(sequence.run(), state);
    sequence.abort();
    m_ended.push_back(&sequence);
}

void EngineBatch::scheduleCrash()
{
    m_isCrashing = true;
    m_crashTimer.startAt(m_loop.now() + crashDelay);
}

void EngineBatch::removeEnded()
{
    for (const EngineSequence *ended : m_ended) {
        std::erase_if(m_running, [ended](const auto &sequence) { return sequence.get() == ended; });
    }
    m_ended.clear();
}

} // namespace Verbena::Standin
