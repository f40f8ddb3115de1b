#pragma once

#include "admission.h"
#include "enginenews.h"
#include "enginestatus.h"
#include "fleetchoice.h"
#include "homedomains.h"
#include "orderfailover.h"
#include "promptmoves.h"
#include "serverregister.h"
#include "weightschoice.h"

#include <decisions/routing/routechooser.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief Why a backend server gets no new work for a while.
enum class ServerTrouble {
    Unreachable, ///< No connection could be made, or it broke.
    Full, ///< It refused a request.
};

/// \brief The backend servers of a deployment with what one router believes of their load, cache and weights.
class RelayFleet
{
public:
    RelayFleet(const RoutingOptions &routing, const WeightsLimits &weights);

    /// \brief The register of backend servers, to be kept up to date by its owner.
    ServerRegister &servers();

    /// \brief So many routers, this one among them, send requests to the same backend servers.
    void setRouterCount(std::uint32_t count);

    /// \brief Whether any backend server is known.
    bool hasServers() const;

    /// \brief \a version of the weights of \a model was named at \a at; returns whether it is newer than all before.
    ///
    /// A later call for the same version corrects the moment; Core::TimePoint::min() says that nobody can tell it.
    bool noteWeightsNamed(const std::string &model, std::uint64_t version, Core::TimePoint at);

    /// \brief Calls \a observer when newer weights were named: calls that wait may have to be called back, or sooner than before.
    void setNamingObserver(std::function<void()> observer);

    /// \brief The agent beside the engine at \a address said how it is; believed for a moment.
    void noteStatus(const std::string &address, const EngineStatus &status, Core::TimePoint now);

    /// \brief The stores of kept KV cache, to be kept up to date by who follows them.
    CacheStores &cacheStores();

    /// \brief Engines without the newest weights whose agents were not heard of for long; to be asked several times a second.
    std::vector<OrphanedEngine> orphanedEngines(Core::TimePoint now);

    /// \brief The newest weights by model, and the engines that serve it.
    std::map<std::string, WeightsGoal> weightsGoals() const;

    /// \brief Where to send a request, or nothing if no backend server can take it now.
    ///
    /// While new weights are brought to the fleet, those engines that have them are few and cold, and the others warm. A request that would have to wait
    /// too long at the one kind goes to the other.
    std::optional<FleetChoice> choose(const FleetQuery &query, Core::TimePoint now);

    /// \brief Whether the engine of \a choice waits for its runs to end so that it can load new weights.
    ///
    /// Until they have ended it takes nothing new, so streams that can go on elsewhere should.
    bool isHeldUpFromLoading(const FleetChoice &choice, Core::TimePoint now) const;

    /// \brief When the request of \a choice, sent for \a model, has to be called back if it has not begun by then; nothing on the newest weights.
    ///
    /// It changes when newer weights are named.
    std::optional<Core::TimePoint> callBackTime(const FleetChoice &choice, const std::string &model) const;

    /// \brief The request of \a choice was sent.
    void noteSent(FleetChoice &choice, Core::TimePoint now);

    /// \brief The first part of the answer has come.
    void noteAnswered(const FleetChoice &choice, Core::TimePoint now);

    /// \brief The backend server did not take the request.
    void noteTrouble(const FleetChoice &choice, ServerTrouble trouble, Core::TimePoint now);

    /// \brief The call ended without a word about the backend server.
    void noteAbandoned(const FleetChoice &choice);

    /// \brief The backend server answered with \a version of \a model, which counts more than its entry.
    void noteWeights(const FleetChoice &choice, const std::string &model, std::uint64_t version);

    /// \brief Another backend server answered in its place.
    void noteReplaced(const FleetChoice &choice);

private:
    void followRegister();
    void followIncarnation(BackendServerId id, std::uint64_t incarnation);
    const std::string *idAt(const std::string &address, std::uint64_t incarnation) const;
    bool isOutdated(const FleetChoice &choice);
    const WeightsHistory &weightsHistory(const FleetQuery &query) const;
    RouteDecision candidates(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const;
    std::optional<FleetChoice> choosePlain(const FleetQuery &query, Core::TimePoint now) const;
    std::optional<FleetChoice> chooseOn(std::uint64_t weights, const FleetQuery &query, Core::TimePoint now) const;
    static bool isBearable(const FleetChoice &choice);
    static bool isBetter(const FleetChoice &choice, const FleetChoice &other);
    void settle(FleetChoice &choice, const RouteCandidate &best, const FleetQuery &query, Core::TimePoint now) const;
    void estimate(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const;
    void excludeLateBeginners(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const;

    ServerRegister m_register;
    RouteChooser m_chooser;
    WeightsLimits m_weightsLimits;
    std::map<std::string, WeightsHistory> m_weights; ///< By model.
    std::function<void()> m_namingObserver;
    std::map<std::pair<std::string, std::string>, std::map<std::uint64_t, std::size_t>> m_versions; ///< By service and model.
    HomeDomains m_homeDomains;
    EngineNews m_news;
    std::unordered_map<std::string, Core::TimePoint> m_agentsPresent; ///< Until when, by address of the engine.
    std::unordered_map<BackendServerId, Core::TimePoint> m_silentSince; ///< Engines whose agents are not heard of.
    std::unordered_map<BackendServerId, std::uint32_t> m_failures; ///< Connections that failed since the last answer.
    PromptMoves m_moves;
    std::map<std::string, WaitEstimate> m_estimates; ///< By route.
    std::unordered_map<std::string, std::vector<std::string>> m_idsByAddress; ///< Of engines; entries may name an address twice.
    std::unordered_map<BackendServerId, std::uint64_t> m_incarnations; ///< Of the backend servers that are known.
    std::uint64_t m_followedRevision = 0;
};

} // namespace Verbena::Decisions
