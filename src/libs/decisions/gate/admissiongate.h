#pragma once

#include "../routing/routechooser.h"
#include "cacheindex.h"
#include "costmodel.h"
#include "duplicatefilter.h"
#include "fairqueue.h"
#include "gatetypes.h"
#include "overloadcontrol.h"
#include "prefixloadmeter.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Limits and initial estimates of an AdmissionGate.
struct AdmissionGateOptions
{
    std::size_t maximumQueued = 1024; ///< Maximum number of queued requests.
    std::uint32_t maximumRunning = 32; ///< Maximum number of runs that the engine processes in one batch.
    std::size_t maximumPrefills = 2; ///< Maximum number of runs at the engine that have no first token yet.
    std::chrono::milliseconds maximumPrefillAhead{100}; ///< Remaining prefill time at the engine from which on no further run is started.
    std::size_t duplicateCapacity = 16384; ///< Number of requests that are kept to detect duplicates.
    std::chrono::milliseconds duplicateMargin{60000}; ///< Time after a request's deadline during which copies may still arrive.
    ReorderLimits reorderLimits;
    CacheIndexOptions cache;
    CostModelOptions cost;
    OverloadOptions overload;
    PrefixLoadOptions prefixLoad;
};

/// \brief Decides for one backend server which requests run, wait or are refused.
///
/// Each submitted attempt ends in exactly one of StartRun, Refuse and DropQueued. Every command returns the actions that its
/// owner has to perform now, in order. The owner calls tick() at nextDeadline().
class AdmissionGate : private QueueEntryCosts
{
public:
    explicit AdmissionGate(const AdmissionGateOptions &options = {});

    // Requests

    /// \brief Queues, starts or refuses \a request, or reports it as a duplicate.
    std::vector<GateAction> submit(GateRequest request, Core::TimePoint now);

    /// \brief Cancels the attempt \a ref in any state because the router no longer needs it.
    std::vector<GateAction> cancel(const RequestRef &ref, Core::TimePoint now);

    // Runs

    /// \brief Handles the first token of a run.
    ///
    /// \a cachedTokens is the number of prompt tokens found in the cache, if the engine has reported it by then.
    std::vector<GateAction> handleFirstToken(const RequestRef &ref, std::optional<std::uint32_t> cachedTokens, Core::TimePoint now);

    /// \brief Records that \a count further tokens arrived.
    void recordTokens(const RequestRef &ref, std::uint32_t count, Core::TimePoint now);

    /// \brief Handles the end of a run. Must be called exactly once for every StartRun.
    std::vector<GateAction> handleRunEnded(const RequestRef &ref, const RunOutcome &outcome, Core::TimePoint now);

    // The engine

    /// \brief Sets the engine's incarnation. A new one has an empty cache and none of the earlier runs.
    void setEngineIncarnation(std::uint64_t incarnation);

    /// \brief Sets whether the engine can be reached. While it is down, queued and new requests are refused.
    std::vector<GateAction> setEngineUp(bool isUp, Core::TimePoint now);

    /// \brief Passes a cache event of the engine to the cache index.
    void handleCacheEvent(const CacheEvent &event, Core::TimePoint now);

    /// \brief Stores the load that the engine reported last.
    void updateEngineLoad(const EngineLoad &load, Core::TimePoint now);

    // Settings

    /// \brief Replaces the weights of the flows.
    void setShares(const std::vector<FlowShare> &shares);

    /// \brief Replaces the versions that the engine holds. Queued requests for other versions are refused.
    std::vector<GateAction> setServed(std::vector<ModelVersion> versions, Core::TimePoint now);

    /// \brief Sets whether the backend server is leaving. It then refuses queued and new requests and finishes its runs.
    std::vector<GateAction> setLeaving(bool isLeaving, Core::TimePoint now);

    // Time

    /// \brief Handles all timeouts up to \a now.
    std::vector<GateAction> tick(Core::TimePoint now);

    /// \brief Returns the time at which tick() must be called, or nothing if no timeout is pending.
    std::optional<Core::TimePoint> nextDeadline() const;

    // Queries

    /// \brief Returns the load report that is sent to routers with each reply.
    LoadReport load(Core::TimePoint now) const;

    /// \brief Returns how many of \a keys, from the first on, are likely to be cached when a new request starts.
    std::uint32_t warmPieces(const std::vector<PrefixKey> &keys, Core::TimePoint now) const;

    /// \brief Returns the number of homes that the deepest hot prefix among \a keys should have, or nothing if none is hot.
    std::optional<HotPrefixHint> hotPrefixHint(const std::vector<PrefixKey> &keys) const;

    bool isLeaving() const;

    /// \brief Returns the number of runs that have been started and not ended.
    std::size_t running() const;

    /// \brief Returns the number of queued requests.
    std::size_t queued() const;
    const CacheIndex &cache() const;
    const CostModel &cost() const;

private:
    enum class State {
        Queued,
        Prefill, ///< Started, without a first token.
        Decode,
    };

    struct Attempt
    {
        GateRequest request;
        QueueEntryId entryId{};
        State state = State::Queued;
        Core::TimePoint queuedAt;
        Core::TimePoint startedAt;
        Core::TimePoint lastTokenAt;
        Core::TimePoint timeoutAt; ///< Time at which the attempt is refused if queued, or cancelled if running.
        std::chrono::microseconds work{0}; ///< Expected engine time, charged to the flow.
        std::chrono::microseconds prefill{0}; ///< Expected prefill time.
        std::chrono::microseconds queuedWorkAhead{0}; ///< Work that was queued when the attempt arrived.
        std::optional<std::chrono::microseconds> measuredPrefill; ///< Measured prefill time, kept until the engine reports the cached tokens.
        std::chrono::microseconds expectedDuration{0}; ///< Expected time from the start to the last token.
        std::uint32_t missingTokens = 0;
        bool isCancelled = false;
    };

    std::chrono::microseconds currentCost(QueueEntryId id) const override;
    std::optional<GateAction> checkAdmission(const GateRequest &request, Core::TimePoint now);
    std::optional<GateAction> answerDuplicate(const GateRequest &request, Core::TimePoint now);
    void cancelOlderAttempts(const RequestRef &ref, std::vector<GateAction> &actions);
    void enqueue(GateRequest request, Core::TimePoint now);
    void startQueued(Core::TimePoint now, std::vector<GateAction> &actions);
    void start(Attempt &attempt, Core::TimePoint now, std::vector<GateAction> &actions);
    void refuseQueued(Attempt &attempt, GateRefusal reason, Core::TimePoint now, std::vector<GateAction> &actions);
    std::vector<GateAction> refuseAllQueued(GateRefusal reason, Core::TimePoint now);
    void updateOverloadLevel(Core::TimePoint now);
    void updateEstimates(Attempt &attempt, Core::TimePoint now) const;
    void addPrefillSample(Attempt &attempt, std::uint32_t cachedTokens);
    void removePrefill(Attempt &attempt, Core::TimePoint now);
    bool hasEngineCapacity(Core::TimePoint now) const;
    bool isServed(const GateRequest &request) const;
    std::chrono::microseconds prefillAhead(Core::TimePoint now) const;
    std::chrono::microseconds expectedWait(const FlowPath &flow, Core::TimePoint now) const;
    std::chrono::microseconds retryAfter(GateRefusal reason, const FlowPath &flow, Core::TimePoint now) const;
    std::chrono::microseconds totalWait(Core::TimePoint now) const;
    void removeAttempt(Attempt &attempt);
    void addExpectedKeys(const GateRequest &request);
    void removeExpectedKeys(const GateRequest &request);
    Attempt *findAttempt(const RequestRef &ref);

    AdmissionGateOptions m_options;
    CacheIndex m_cache;
    CostModel m_cost;
    FairQueue m_queue;
    DuplicateFilter m_duplicates;
    OverloadControl m_overload;
    PrefixLoadMeter m_prefixLoad;
    std::unordered_map<RequestRef, Attempt, RequestRefHash> m_attempts;
    std::unordered_map<QueueEntryId, Attempt *> m_attemptsByEntry;
    std::set<std::pair<Core::TimePoint, QueueEntryId>> m_timeouts;
    std::vector<ModelVersion> m_served;
    std::uint64_t m_lastEntryId = 0;
    std::unordered_map<PrefixKey, std::size_t> m_expectedKeys; ///< Keys of prompts that are queued or being processed, with the number of these prompts.
    std::size_t m_running = 0;
    std::deque<const Attempt *> m_prefills; ///< Runs without a first token, the oldest first.
    Core::TimePoint m_currentTime; ///< Time of the command being executed, for currentCost().
    Core::TimePoint m_prefillSince; ///< Time at which the engine began the prompt that it is processing.
    EngineLoad m_engineLoad;
    bool m_isLeaving = false;
    bool m_isEngineUp = true;
};

} // namespace Verbena::Decisions
