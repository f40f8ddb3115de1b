#pragma once

#include "enginestatus.h"

#include <core/time.h>
#include <decisions/routing/backendserver.h>
#include <decisions/routing/serverloads.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief What waits at an engine, as far as one router knows.
struct EngineQueue
{
    std::uint32_t waiting = 0; ///< Requests, by the agent's last news and what was sent since.
    std::chrono::milliseconds newsAge{0};
};

/// \brief What agents said of their engines to one router, with what it has sent there since, and what follows for new requests.
class EngineNews
{
public:
    /// \brief News come several times a second; without any for so long the agent counts as silent.
    static constexpr std::chrono::milliseconds lifetime{1500};

    /// \brief So many routers, this one among them, send requests to the same engines.
    void setRouterCount(std::uint32_t count);

    /// \brief The agent beside the engine \a id said how it is; believed for lifetime.
    void note(BackendServerId id, const EngineStatus &status, Core::TimePoint now);

    /// \brief This router sent a request to the engine \a id.
    void noteSent(BackendServerId id);

    /// \brief The engine \a id has answered a request.
    void noteAnswered(BackendServerId id, Core::TimePoint now);

    /// \brief The engine \a id has started again: nothing that was said of it holds.
    void noteRestart(BackendServerId id);

    /// \brief Forgets the engines for which \a isGone is true.
    void forget(const std::function<bool(BackendServerId)> &isGone);

    /// \brief The load that \a status tells of.
    static LoadReport loadOf(const EngineStatus &status);

    /// \brief What waits at the engine \a id; nothing if its agent is silent.
    std::optional<EngineQueue> queue(BackendServerId id, Core::TimePoint now) const;

    /// \brief Whether the engine \a id waits for its runs to end so that it can load new weights.
    bool isHeldUpFromLoading(BackendServerId id, Core::TimePoint now) const;

    /// \brief Whether this router is likely to be cut off from the agents.
    bool isPerhapsCutOff(Core::TimePoint now) const;

    /// \brief Adds the engines to \a ids whose agents are silent and that got enough requests to find out whether they live.
    void addSilent(std::vector<BackendServerId> &ids, Core::TimePoint now) const;

    /// \brief Adds the engines to \a ids that load new weights, or will before they have made \a outputTokens.
    void addBusyWithWeights(std::vector<BackendServerId> &ids, std::uint32_t outputTokens, Core::TimePoint now) const;

    /// \brief Whether a request that comes to any engine now begins before \a until.
    static bool beginsAnywhere(Core::TimePoint until, Core::TimePoint now);

    /// \brief Whether a request that comes to the engine \a id now may begin after \a until; \a unanswered is the work that this router has sent there.
    bool mayBeginLate(BackendServerId id, std::chrono::microseconds unanswered, Core::TimePoint until, Core::TimePoint now) const;

private:
    // What an agent said of its engine, and until when it is believed.
    struct Heard
    {
        EngineStatus status;
        Core::TimePoint deadline;
        std::uint32_t sentSince = 0; ///< By this router, that the status cannot know of.
    };

    std::uint32_t presentlyWaiting(const Heard &heard) const;
    static bool isBusyWithWeights(const Heard &heard, std::uint32_t outputTokens, Core::TimePoint now);

    std::unordered_map<BackendServerId, Heard> m_heard;
    std::uint32_t m_routerCount = 1;
};

} // namespace Verbena::Decisions
