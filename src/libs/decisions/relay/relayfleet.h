#pragma once

#include "admission.h"
#include "enginestatus.h"
#include "orderfailover.h"
#include "promptcaches.h"
#include "promptoutline.h"
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

/// \brief What a request needs of a backend server.
struct FleetQuery
{
    std::string service;
    std::string route; ///< Whose requests are alike, for estimates.
    const PromptOutline *prompt = nullptr; ///< Of a completion; nothing for a plain call.
    std::string dedicatedTo; ///< The organisation that shares no KV cache with others, if the request is of such a one.
    std::vector<std::string> excluded; ///< Ids of backend servers that were tried before.
    std::uint64_t draw = 0; ///< Evenly spread over all numbers.
    std::chrono::microseconds latencyTarget{0}; ///< That its route wants; zero for none.
};

/// \brief The backend server that a request goes to, with what was known when it was chosen.
struct FleetChoice
{
    std::string serverId;
    std::string address;
    std::optional<std::uint64_t> weightsVersion; ///< That the request is meant for.
    std::optional<std::chrono::milliseconds> outdatedFor; ///< Since newer weights were named, as far as is known; nothing if none were.
    std::string cacheScope; ///< Prompts of other scopes share no cached part with this one.
    std::vector<SharedPart> parts; ///< Of the prompt, in order; without the last one, which is the request's own.
    std::uint32_t warmParts = 0; ///< Leading ones believed to be in its cache.
    std::uint32_t storedParts = 0; ///< Leading ones that the prompt's store of kept KV cache holds.
    std::string cacheSource; ///< Address of an engine or a store, to fetch missing parts from; empty for none.
    std::string cacheStore; ///< Address of the store that should get what it lacks; empty for none.
    BackendServerId id{};
    std::uint64_t incarnation = 0; ///< Of the backend server when it was chosen.
    RouteQuery route;
    std::chrono::microseconds work{0};
    std::string routeName;
    std::uint32_t waiting = 0; ///< Requests that wait there, by the agent's last news and what was sent since.
    std::optional<std::chrono::microseconds> expectedWait; ///< Before it is begun; nothing if there are no news.
    std::chrono::microseconds bearableWait{std::chrono::microseconds::max()}; ///< With which it would still be answered in time.
    std::optional<std::chrono::milliseconds> newsAge; ///< Of the agent's news by which the wait is expected.
    bool isBusyWithWeights = false; ///< It loads new weights or is about to; all others do too.
    Core::TimePoint sentAt;
};

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
    // What an agent said of its engine, and until when it is believed.
    struct Heard
    {
        EngineStatus status;
        Core::TimePoint deadline;
        std::uint32_t sentSince = 0; ///< By this router, that the status cannot know of.
    };

    bool isPerhapsCutOff(Core::TimePoint now) const;
    void followRegister();
    void followIncarnation(BackendServerId id, std::uint64_t incarnation);
    const std::string *idAt(const std::string &address, std::uint64_t incarnation) const;
    bool isOutdated(const FleetChoice &choice);
    bool isBusyWithWeights(const Heard &heard, const FleetQuery &query, Core::TimePoint now) const;
    const WeightsHistory &weightsHistory(const FleetQuery &query) const;
    void describePrompt(FleetChoice &choice, const FleetQuery &query) const;
    RouteDecision candidates(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const;
    std::optional<FleetChoice> choosePlain(const FleetQuery &query, Core::TimePoint now) const;
    std::optional<FleetChoice> chooseOn(std::uint64_t weights, const FleetQuery &query, Core::TimePoint now) const;
    static bool isBearable(const FleetChoice &choice);
    static bool isBetter(const FleetChoice &choice, const FleetChoice &other);
    void settle(FleetChoice &choice, const RouteCandidate &best, const FleetQuery &query, Core::TimePoint now) const;
    const CacheStore *storeOf(const FleetChoice &choice) const;
    std::string homeDomain(const FleetQuery &query, PrefixKey prompt) const;
    RouteCandidate bestOf(const RouteDecision &decision, const FleetChoice &choice, Core::TimePoint now) const;
    std::chrono::microseconds cost(RouteCandidate &candidate, const std::vector<SharedPart> &parts, std::uint32_t warmAnywhere, Core::TimePoint now) const;
    static bool isWorthMoving(const std::vector<SharedPart> &parts);
    bool isRefilling(const FleetQuery &query, Core::TimePoint now) const;
    bool isWorthSaving(const PartIndex &store, const FleetQuery &query, Core::TimePoint now) const;
    std::string holderOf(const FleetChoice &choice, Core::TimePoint now) const;
    void settleCaches(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const;
    std::uint32_t presentlyWaiting(const Heard &heard) const;
    void estimate(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const;
    void excludeSilent(RouteQuery &route, Core::TimePoint now) const;
    void excludeBusyWithWeights(RouteQuery &route, const FleetQuery &query, Core::TimePoint now) const;
    bool mayBeginLate(BackendServerId id, Core::TimePoint until, Core::TimePoint now) const;
    void excludeLateBeginners(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const;

    ServerRegister m_register;
    RouteChooser m_chooser;
    WeightsLimits m_weightsLimits;
    std::map<std::string, WeightsHistory> m_weights; ///< By model.
    std::function<void()> m_namingObserver;
    std::map<std::pair<std::string, std::string>, std::map<std::uint64_t, std::size_t>> m_versions; ///< By service and model.
    std::map<std::pair<std::string, std::string>, std::map<std::string, std::size_t>> m_domains; ///< Engines by service and model, then by failure domain.
    std::unordered_map<BackendServerId, Heard> m_heard;
    std::unordered_map<std::string, Core::TimePoint> m_agentsPresent; ///< Until when, by address of the engine.
    std::unordered_map<BackendServerId, Core::TimePoint> m_silentSince; ///< Engines whose agents are not heard of.
    std::unordered_map<BackendServerId, std::uint32_t> m_failures; ///< Connections that failed since the last answer.
    PromptCaches m_caches;
    std::map<std::string, WaitEstimate> m_estimates; ///< By route.
    std::unordered_map<std::string, std::vector<std::string>> m_idsByAddress; ///< Of engines; entries may name an address twice.
    std::unordered_map<BackendServerId, std::uint64_t> m_incarnations; ///< Of the backend servers that are known.
    std::uint64_t m_followedRevision = 0;
    std::uint32_t m_routerCount = 1;
};

} // namespace Verbena::Decisions
