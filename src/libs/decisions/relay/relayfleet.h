#pragma once

#include "admission.h"
#include "agentpresence.h"
#include "earlierstartreports.h"
#include "enginereports.h"
#include "enginestatus.h"
#include "fleetchoice.h"
#include "homedomains.h"
#include "orderfailover.h"
#include "pauseestimate.h"
#include "prompttransfers.h"
#include "reportedloads.h"
#include "runtimes.h"
#include "serverlimits.h"
#include "serverpace.h"
#include "serverregister.h"
#include "serverrests.h"
#include "weightschoice.h"

#include <decisions/routing/routechooser.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief Reason why a backend server gets no new requests for a while.
enum class ServerFailure {
    Unreachable, ///< A connection could not be made, or broke.
    Full, ///< The server refused a request.
};

/// \brief The backend servers of a deployment, with their load, cache and weights as one router sees them.
class RelayFleet
{
public:
    RelayFleet(const RoutingOptions &routing, const WeightsLimits &weights);

    /// \brief Returns the register of backend servers, which the owner keeps up to date.
    ServerRegister &servers();

    /// \brief Returns the limits that backend servers have named.
    ServerLimits &limits();

    /// \brief Returns the time until this router may send the request of \a query to a server that is at its limit or rests now; nothing if there is none
    /// besides the excluded ones.
    std::optional<std::chrono::milliseconds> sendDelay(const FleetQuery &query, Core::TimePoint now);

    /// \brief Returns the time until the first backend server of \a service ends its rest; nothing unless all that take new requests rest.
    std::optional<std::chrono::milliseconds> restDelay(const std::string &service, Core::TimePoint now) const;

    /// \brief Handles that the backend server of \a choice refused a request and asked this router for \a rest. Returns whether it did not rest before.
    bool recordRest(const FleetChoice &choice, std::chrono::milliseconds rest, Core::TimePoint now);

    /// \brief Returns whether a backend server of \a service with \a softwareVersion takes new requests.
    bool hasSoftware(const std::string &service, const std::string &softwareVersion);

    /// \brief Handles that the backend server of \a choice named \a perSecond as its limit in an answer, or none. Returns whether that changed it.
    bool recordLimit(const FleetChoice &choice, const std::optional<double> &perSecond, Core::TimePoint now);

    /// \brief Returns whether any backend server of \a service has named its pace.
    bool namesPace(const std::string &service) const;

    /// \brief Records \a load, which an answer of the backend server of \a choice reported.
    void recordLoad(const FleetChoice &choice, const ServerLoad &load, Core::TimePoint now);

    /// \brief Records that the first part of a successful answer to the request of \a choice was received; to be called before recordAnswered().
    void recordWork(const FleetChoice &choice, Core::TimePoint now);

    /// \brief Returns how long calls take.
    RunTimes &runTimes();

    /// \brief Records that the call of \a choice has its whole answer at \a now, or did not have it until then.
    void recordRunTime(const FleetChoice &choice, Core::TimePoint now);

    /// \brief Records that \a longest was the longest pause in the whole stream of \a choice, for the pauses expected on its route. Does nothing if no server
    /// of the service names its pace.
    void recordLongestPause(const FleetChoice &choice, std::chrono::microseconds longest);

    /// \brief Handles what another router was told of a limit. Returns whether that changed it; news of an earlier incarnation change nothing.
    bool applyLimitNews(const ServerLimitNews &news, Core::TimePoint now);

    /// \brief Sets the number of routers, including this one, that send requests to the same backend servers.
    void setRouterCount(std::uint32_t count);

    /// \brief Returns whether any backend server is registered.
    bool hasServers() const;

    /// \brief Records that \a version of the weights of \a model was announced at \a at; returns whether it is newer than all before.
    ///
    /// A later call for the same version corrects the time; Core::TimePoint::min() means that the time is not known.
    bool recordWeightsAnnouncement(const std::string &model, std::uint64_t version, Core::TimePoint at);

    /// \brief Handles that \a version of the weights of \a model is the newest, though others above it were announced before.
    void withdrawWeightsAbove(const std::string &model, std::uint64_t version);

    /// \brief Sets \a observer, which is called when other weights become the newest: waiting calls may have to be called back, sooner or later than before.
    void setAnnouncementObserver(std::function<void()> observer);

    /// \brief Updates the status of the engine at \a address with the report of its agent, which is valid for EngineReports::lifetime.
    void updateStatus(const std::string &address, const EngineStatus &status, Core::TimePoint now);

    /// \brief Handles that the agent of the engine at \a address ends regularly: its silence says nothing of the engine.
    void handleAgentEnd(const std::string &address);

    /// \brief Returns whether the agent of the engine at \a address has reported lately.
    bool hasAgent(const std::string &address, Core::TimePoint now) const;

    /// \brief Returns the stores of saved KV cache, which the component that follows them keeps up to date.
    CacheStores &cacheStores();

    /// \brief Returns engines without the newest weights whose agents have been silent for long; to be called several times a second.
    std::vector<OrphanedEngine> orphanedEngines(Core::TimePoint now);

    /// \brief Returns the newest weights by model, with the engines that serve the model.
    std::map<std::string, WeightsGoal> weightsGoals() const;

    /// \brief Chooses a backend server for a request; returns nothing if none can accept it now.
    ///
    /// During the rollout of new weights the engines that have them are few and cold, and the others warm. A request that would wait too long at one kind goes
    /// to the other.
    std::optional<FleetChoice> choose(const FleetQuery &query, Core::TimePoint now);

    /// \brief Returns whether the engine of \a choice loads new weights or finishes its requests in order to load them.
    ///
    /// Until it has loaded them it accepts nothing new, so streams that can be continued elsewhere should move.
    bool isWaitingToLoad(const FleetChoice &choice, Core::TimePoint now) const;

    /// \brief Returns the time at which the request of \a choice, sent for \a model, has to be called back if it has not started by then; nothing on the
    /// newest weights.
    ///
    /// The time changes when newer weights are announced.
    std::optional<Core::TimePoint> callBackTime(const FleetChoice &choice, const std::string &model) const;

    /// \brief Returns whether the engine of \a choice is silent: its agent, and probably its host, has stopped while other agents report.
    bool isSilent(const FleetChoice &choice, Core::TimePoint now) const;

    /// \brief Returns the number of silent engines.
    std::size_t silentCount(Core::TimePoint now) const;

    /// \brief Returns the time since the agent of the engine of \a choice last reported; nothing if it never did.
    std::optional<std::chrono::milliseconds> reportAge(const FleetChoice &choice, Core::TimePoint now) const;

    /// \brief Records that the request of \a choice was sent.
    void recordSent(FleetChoice &choice, Core::TimePoint now);

    /// \brief Records that anything of an answer to the request of \a choice was received.
    void recordActivity(const FleetChoice &choice, Core::TimePoint now);

    /// \brief Records that the first part of the answer was received.
    void recordAnswered(const FleetChoice &choice, Core::TimePoint now);

    /// \brief Records that the backend server did not accept the request.
    void recordFailure(const FleetChoice &choice, ServerFailure failure, Core::TimePoint now);

    /// \brief Records that the call ended without information on the backend server.
    void recordAbandoned(const FleetChoice &choice);

    /// \brief Updates the weights of the backend server, which answered with \a version of \a model; the answer takes precedence over its entry.
    void updateWeights(const FleetChoice &choice, const std::string &model, std::uint64_t version);

    /// \brief Handles that an answer of the backend server of \a choice said that it leaves. Returns whether that was not known.
    bool markLeaving(const FleetChoice &choice);

    /// \brief Removes the backend server, as another one answered at its address.
    void markReplaced(const FleetChoice &choice);

private:
    void syncWithRegister();
    std::vector<std::string> unavailable(Core::TimePoint now);
    std::optional<Core::TimePoint> nextSend(const std::string &serverId, Core::TimePoint now);
    void updateIncarnation(BackendServerId id, std::uint64_t incarnation);
    const std::string *idAt(const std::string &address, std::uint64_t incarnation) const;
    bool isOutdated(const FleetChoice &choice);
    const WeightsHistory &weightsHistory(const FleetQuery &query) const;
    RouteDecision candidates(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const;
    bool isPlacedBySpeed(const FleetChoice &choice, const FleetQuery &query) const;
    void setExpectedSpeed(RouteDecision &decision, const FleetQuery &query, Core::TimePoint now) const;
    std::optional<FleetChoice> chooseFor(const FleetQuery &query, Core::TimePoint now) const;
    std::optional<FleetChoice> choosePlain(const FleetQuery &query, Core::TimePoint now) const;
    std::vector<RouteCandidate> plainCandidates(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const;
    RouteCandidate soonest(const std::vector<RouteCandidate> &candidates, const FleetQuery &query, Core::TimePoint now) const;
    bool isOutdatedReport(const std::string &id, const EngineStatus &status, Core::TimePoint now);
    std::uint32_t unansweredCalls(BackendServerId id) const;
    std::optional<FleetChoice> chooseOn(std::uint64_t weights, const FleetQuery &query, Core::TimePoint now) const;
    static bool isAcceptable(const FleetChoice &choice);
    static bool isBetter(const FleetChoice &choice, const FleetChoice &other);
    void complete(FleetChoice &choice, const RouteCandidate &best, const FleetQuery &query, Core::TimePoint now) const;
    void estimateWait(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const;
    void excludeLateStarters(FleetChoice &choice, const FleetQuery &query, Core::TimePoint now) const;

    ServerRegister m_register;
    RouteChooser m_chooser;
    WeightsLimits m_weightsLimits;
    std::map<std::string, WeightsHistory> m_weights; ///< By model.
    std::function<void()> m_announcementObserver;
    std::map<std::pair<std::string, std::string>, std::map<std::uint64_t, std::size_t>> m_versions; ///< Engines at each version, by service and model.
    std::set<std::pair<std::string, std::string>> m_software; ///< Software versions that take new requests, each with its service.
    HomeDomains m_homeDomains;
    EngineReports m_reports;
    AgentPresence m_agents;
    EarlierStartReports m_earlierStarts;
    std::unordered_map<BackendServerId, std::uint32_t> m_failures; ///< Number of failed connections since the last answer.
    PromptTransfers m_transfers;
    ServerLimits m_limits;
    ServerRests m_rests;
    ServerPace m_pace;
    RunTimes m_runTimes;
    ReportedLoads m_reportedLoads;
    std::map<std::string, WaitEstimate> m_estimates; ///< Wait estimates by route.
    std::map<std::string, PauseEstimate> m_pauses; ///< Pauses in streams by route.
    std::unordered_map<std::string, std::vector<std::string>> m_idsByAddress; ///< Ids of engines by address; several entries may name the same address.
    std::unordered_map<BackendServerId, std::uint64_t> m_incarnations; ///< Incarnations of the registered backend servers.
    std::uint64_t m_syncedRevision = 0;
};

} // namespace Verbena::Decisions
