#pragma once

#include "workload.h"

#include <list>
#include <unordered_map>

namespace Verbena::PolicyBench {

/// \brief What a run did to an engine, known as soon as it starts since the fake knows its future.
struct FakeRun
{
    std::size_t cachedPieces = 0;
    std::vector<Decisions::PrefixKey> evicted;
    Core::TimePoint firstToken;
    Core::TimePoint end;
};

/// \brief An engine's prefix cache and batch in virtual time: prompts one after another, answers side by side.
class FakeEngine
{
public:
    explicit FakeEngine(const Deployment &deployment);

    FakeRun start(const Request &request, Core::TimePoint now);

    /// \brief A run that was started is over.
    void finish();

    /// \brief Comes back empty.
    void crash(Core::TimePoint back);

    std::size_t cachedPieces(const std::vector<Decisions::PrefixKey> &keys) const;

    /// \brief When a prompt that is started now would begin.
    Core::TimePoint freeAt(Core::TimePoint now) const;

private:
    void touch(const std::vector<Decisions::PrefixKey> &keys, std::vector<Decisions::PrefixKey> &evicted);

    const Deployment &m_deployment;
    std::list<Decisions::PrefixKey> m_recent; ///< Most recently used first.
    std::unordered_map<Decisions::PrefixKey, std::list<Decisions::PrefixKey>::iterator> m_cached;
    Core::TimePoint m_prefillEnd;
    std::size_t m_running = 0;
};

} // namespace Verbena::PolicyBench
