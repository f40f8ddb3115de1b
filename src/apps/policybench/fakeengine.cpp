#include "fakeengine.h"

#include <algorithm>

namespace Verbena::PolicyBench {

namespace {

constexpr std::chrono::microseconds promptOverhead{2000};
constexpr std::chrono::microseconds tokenInterval{12000}; ///< Time between tokens of an answer that runs alone.
constexpr std::size_t batchThatDoublesInterval = 32;
constexpr std::size_t batchThatHalvesPrefill = 100;

} // namespace

FakeEngine::FakeEngine(const Deployment &deployment)
    : m_deployment(deployment)
{
}

FakeRun FakeEngine::start(const Request &request, Core::TimePoint now)
{
    FakeRun run;
    run.cachedPieces = cachedPieces(request.keys);
    touch(request.keys, run.evicted);
    const auto missing = static_cast<std::int64_t>(request.keys.size() - run.cachedPieces);
    const auto prefill = promptOverhead + missing * m_deployment.prefillPerPiece;
    const auto slowdown = prefill * static_cast<std::int64_t>(m_running) / static_cast<std::int64_t>(batchThatHalvesPrefill);
    m_prefillEnd = prefillFreeAt(now) + prefill + slowdown;
    ++m_running;
    const auto interval = tokenInterval + tokenInterval * static_cast<std::int64_t>(m_running) / static_cast<std::int64_t>(batchThatDoublesInterval);
    run.firstToken = m_prefillEnd;
    run.end = m_prefillEnd + interval * static_cast<std::int64_t>(request.answerTokens);
    return run;
}

void FakeEngine::finish()
{
    --m_running;
}

void FakeEngine::crash(Core::TimePoint restartAt)
{
    m_recent.clear();
    m_cached.clear();
    m_prefillEnd = restartAt;
    m_running = 0;
}

std::size_t FakeEngine::cachedPieces(const std::vector<Decisions::PrefixKey> &keys) const
{
    const auto missing = std::find_if_not(keys.begin(), keys.end(), [this](Decisions::PrefixKey key) { return m_cached.contains(key); });
    return static_cast<std::size_t>(missing - keys.begin());
}

Core::TimePoint FakeEngine::prefillFreeAt(Core::TimePoint now) const
{
    return std::max(now, m_prefillEnd);
}

// Touches the pieces from deep to shallow, so that the deepest piece of a prompt is evicted first.
void FakeEngine::touch(const std::vector<Decisions::PrefixKey> &keys, std::vector<Decisions::PrefixKey> &evicted)
{
    for (auto key = keys.rbegin(); key != keys.rend(); ++key) {
        const auto found = m_cached.find(*key);
        if (found != m_cached.end()) {
            m_recent.splice(m_recent.begin(), m_recent, found->second);
        } else {
            m_recent.push_front(*key);
            m_cached.emplace(*key, m_recent.begin());
        }
    }
    while (m_cached.size() > m_deployment.cachePieces) {
        evicted.push_back(m_recent.back());
        m_cached.erase(m_recent.back());
        m_recent.pop_back();
    }
}

} // namespace Verbena::PolicyBench
