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

/// \brief Estimated queue of an engine, as one router sees it.
struct EngineQueue
{
    std::uint32_t waiting = 0; ///< Number of waiting requests: those in the last status report and those estimated to have been sent since.
    std::chrono::milliseconds reportAge{0};
};

/// \brief Status reports that one router received from the agents of engines, combined with the requests that it sent to them, for the choice of engines for
/// new requests.
class EngineReports
{
public:
    /// \brief Validity of a status report. Agents report several times a second; afterwards the report says nothing of the engine's load.
    static constexpr std::chrono::milliseconds lifetime{1500};

    /// \brief Time without a report, while others report, after which an engine counts as silent: so many reports in a row are hardly ever lost.
    static constexpr std::chrono::milliseconds silenceTime{600};

    /// \brief Sets the number of routers, including this one, that send requests to the same engines.
    void setRouterCount(std::uint32_t count);

    /// \brief Replaces the last report on the engine \a id with \a status, which is valid for lifetime.
    void update(BackendServerId id, const EngineStatus &status, Core::TimePoint now);

    /// \brief Records that this router sent a request to the engine \a id.
    void recordSent(BackendServerId id, Core::TimePoint now);

    /// \brief Records that anything of an answer came from the engine \a id. An engine that answers while its agent is silent counts as present until its
    /// agent reports again.
    void recordActivity(BackendServerId id, Core::TimePoint now);

    /// \brief Records that the engine \a id answered a request.
    void recordAnswered(BackendServerId id, Core::TimePoint now);

    /// \brief Discards the report on the engine \a id, which has restarted, or whose agent ends and will report no more.
    void discard(BackendServerId id);

    /// \brief Removes the engines for which \a isGone returns true.
    void removeIf(const std::function<bool(BackendServerId)> &isGone);

    /// \brief Returns the load that \a status describes.
    static LoadReport loadReport(const EngineStatus &status);

    /// \brief Returns the estimated queue of the engine \a id, or nothing if its report has expired.
    std::optional<EngineQueue> queue(BackendServerId id, Core::TimePoint now) const;

    /// \brief Returns the time since the last report on the engine \a id; nothing if its agent never reported.
    std::optional<std::chrono::milliseconds> reportAge(BackendServerId id, Core::TimePoint now) const;

    /// \brief Returns whether the engine \a id is silent: its agent, and probably its host, has stopped while other agents report.
    bool isSilent(BackendServerId id, Core::TimePoint now) const;

    /// \brief Returns the number of silent engines.
    std::size_t silentCount(Core::TimePoint now) const;

    /// \brief Returns whether the engine \a id loads new weights or finishes its requests in order to load them.
    bool isWaitingToLoad(BackendServerId id, Core::TimePoint now) const;

    /// \brief Returns whether this router has probably lost its connection to the agents.
    bool isLikelyIsolated(Core::TimePoint now) const;

    /// \brief Adds the engines to \a ids that are silent, unless it is this router's turn to find out whether they still answer, and those that have got
    /// enough requests without an answer since their report expired.
    void addSilent(std::vector<BackendServerId> &ids, Core::TimePoint now) const;

    /// \brief Adds the engines to \a ids whose report is late: they may have fallen silent together with others.
    void addLate(std::vector<BackendServerId> &ids) const;

    /// \brief Adds the engines to \a ids that load new weights, or will start to before they have generated \a outputTokens.
    void addBusyWithWeights(std::vector<BackendServerId> &ids, std::uint32_t outputTokens, Core::TimePoint now) const;

    /// \brief Returns whether a request that reaches any engine now starts before \a until.
    static bool startsInTimeAnywhere(Core::TimePoint until, Core::TimePoint now);

    /// \brief Returns whether a request that reaches the engine \a id now may start after \a until; \a unanswered is the work that this router has sent there
    /// and that is not answered yet.
    bool mayStartLate(BackendServerId id, std::chrono::microseconds unanswered, Core::TimePoint until, Core::TimePoint now) const;

private:
    // Last report of an agent on its engine, and until when it is valid.
    struct StatusReport
    {
        EngineStatus status;
        Core::TimePoint deadline;
        std::uint32_t sentSince = 0; ///< Number of requests that this router has sent since, which the status does not include.
        bool isActiveSince = false; ///< Whether the engine has sent anything after it had fallen silent.
        Core::TimePoint nextTrial; ///< Time at which this router may send a request to the engine although it is silent.
    };

    static Core::TimePoint receivedAt(const StatusReport &report);
    bool isSilent(const StatusReport &report, Core::TimePoint now) const;
    static std::chrono::milliseconds age(const StatusReport &report, Core::TimePoint now);
    std::uint32_t estimateWaiting(const StatusReport &report) const;
    static bool isBusyWithWeights(const StatusReport &report, std::uint32_t outputTokens, Core::TimePoint now);

    std::unordered_map<BackendServerId, StatusReport> m_reports;
    Core::TimePoint m_newestReportAt{}; ///< Time at which any agent last reported.
    Core::TimePoint m_silenceKnownFrom{}; ///< Before this time, an agent without a report may have had no time to send one.
    std::uint32_t m_routerCount = 1;
};

} // namespace Verbena::Decisions
