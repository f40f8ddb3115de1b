#pragma once

#include "workload.h"

#include <list>
#include <unordered_map>

namespace Verbena::PolicyBench {

/// \brief Effects and times of a run. They are computed when the run starts, as the simulated engine is deterministic.
struct FakeRun
{
    std::size_t cachedPieces = 0;
    std::vector<Decisions::PrefixKey> evicted;
    Core::TimePoint firstToken;
    Core::TimePoint end;
};

/// \brief Simulated engine in virtual time with a prefix cache and a batch. Prompts are prefilled one after another, answers are decoded concurrently.
class FakeEngine
{
public:
    explicit FakeEngine(const Deployment &deployment);

    /// \brief Starts a run of \a request.
    FakeRun start(const Request &request, Core::TimePoint now);

    /// \brief Records that a run has ended.
    void finish();

    /// \brief Loses all runs and the cache. The engine is available again at \a restartAt.
    void crash(Core::TimePoint restartAt);

    /// \brief Returns how many of the leading pieces of \a keys are cached.
    std::size_t cachedPieces(const std::vector<Decisions::PrefixKey> &keys) const;

    /// \brief Returns the time at which the prefill of a request started at \a now would begin.
    Core::TimePoint prefillFreeAt(Core::TimePoint now) const;

private:
    void touch(const std::vector<Decisions::PrefixKey> &keys, std::vector<Decisions::PrefixKey> &evicted);

    const Deployment &m_deployment;
    std::list<Decisions::PrefixKey> m_recent; ///< Cached pieces, the most recently used first.
    std::unordered_map<Decisions::PrefixKey, std::list<Decisions::PrefixKey>::iterator> m_cached;
    Core::TimePoint m_prefillEnd;
    std::size_t m_running = 0;
};

} // namespace Verbena::PolicyBench
