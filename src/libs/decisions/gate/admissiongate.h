#pragma once

#include "../routing/routechooser.h"
#include "cacheindex.h"
#include "costmodel.h"
#include "duplicatefilter.h"
#include "fairqueue.h"
#include "gatetypes.h"
#include "prefixloadmeter.h"
#include "overloadcontrol.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Bounds and first assumptions of an AdmissionGate.
struct AdmissionGateOptions
{
    std::size_t maximumQueued = 1024;
    std::uint32_t maximumRunning = 32; ///< Runs that the engine batches at once.
    std::size_t maximumPrefills = 2; ///< Runs without a first token that the engine is handed at once.
    std::chrono::milliseconds maximumPrefillAhead{100}; ///< Prompts handed to the engine beyond the one it works on.
    std::size_t duplicateCapacity = 16384;
    std::chrono::milliseconds duplicateMargin{60000}; ///< How long after its deadline a copy may still come.
    ReorderLimits reorderLimits;
    CacheIndexOptions cache;
    CostModelOptions cost;
    OverloadOptions overload;
    PrefixLoadOptions prefixLoad;
};

/// \brief Decides beside one backend server what runs, what waits and what is refused.
///
/// Each submitted attempt ends in exactly one of StartRun, Refuse and DropQueued. Every command returns what its owner
/// has to do now, in order. The owner calls tick() at nextDeadline().
class AdmissionGate : private QueueEntryCosts
{
public:
    explicit AdmissionGate(const AdmissionGateOptions &options = {});

    // Requests

    std::vector<GateAction> submit(GateRequest request, Core::TimePoint now);

    /// \brief The router wants the attempt no more, whatever its state.
    std::vector<GateAction> cancel(const RequestRef &ref, Core::TimePoint now);

    // Runs

    /// \brief The first token came; \a cachedTokens of the prompt came from the cache, if the engine has told so far.
    std::vector<GateAction> handleFirstToken(const RequestRef &ref, std::optional<std::uint32_t> cachedTokens, Core::TimePoint now);

    /// \brief \a count further tokens came.
    void recordTokens(const RequestRef &ref, std::uint32_t count, Core::TimePoint now);

    /// \brief The run is over; every StartRun must be followed by one.
    std::vector<GateAction> handleRunEnded(const RequestRef &ref, const RunOutcome &outcome, Core::TimePoint now);

    // The engine

    /// \brief The engine is at \a incarnation; a new one has an empty cache and none of the old runs.
    void setEngineIncarnation(std::uint64_t incarnation);

    /// \brief While the engine is down everything is refused, and so is what waits.
    std::vector<GateAction> setEngineUp(bool isUp, Core::TimePoint now);

    void handleCacheEvent(const CacheEvent &event, Core::TimePoint now);
    void updateEngineLoad(const EngineLoad &load, Core::TimePoint now);

    // Settings

    void setShares(const std::vector<FlowShare> &shares);

    /// \brief What the engine holds now, in place of what it held before.
    std::vector<GateAction> setServed(std::vector<ModelVersion> versions, Core::TimePoint now);

    /// \brief A leaving backend server refuses what waits and what comes, and finishes what runs.
    std::vector<GateAction> setLeaving(bool isLeaving, Core::TimePoint now);

    // Time

    std::vector<GateAction> tick(Core::TimePoint now);
    std::optional<Core::TimePoint> nextDeadline() const;

    // Queries

    /// \brief What to tell routers with each reply.
    LoadReport load(Core::TimePoint now) const;

    /// \brief How many of \a keys, from the first on, are likely cached by the time that a new request begins.
    std::uint32_t warmPieces(const std::vector<PrefixKey> &keys, Core::TimePoint now) const;

    /// \brief The home set that a hot prefix among \a keys should have.
    std::optional<HotPrefixHint> hotPrefixHint(const std::vector<PrefixKey> &keys) const;

    bool isLeaving() const;

    /// \brief Runs that have been started and not ended.
    std::size_t running() const;
    std::size_t queued() const;
    const CacheIndex &cache() const;
    const CostModel &cost() const;

private:
    enum class State {
        Queued,
        Prefill, ///< Started, no token yet.
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
        Core::TimePoint timeoutAt; ///< When waiting or running on is of no more use.
        std::chrono::microseconds work{0}; ///< Charged to the flow.
        std::chrono::microseconds prefill{0}; ///< Expected.
        std::chrono::microseconds queuedWorkAhead{0}; ///< Queued when it came.
        std::optional<std::chrono::microseconds> measuredPrefill; ///< Measured, with the cached tokens not told yet.
        std::chrono::microseconds expectedDuration{0}; ///< Expected from the start to the last token.
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
    std::unordered_map<PrefixKey, std::size_t> m_expectedKeys; ///< Of prompts that wait or are being processed, with their number.
    std::size_t m_running = 0;
    std::deque<const Attempt *> m_prefills; ///< Runs without a first token, the oldest first.
    Core::TimePoint m_currentTime; ///< Of the command that is carried out.
    Core::TimePoint m_prefillSince; ///< When the engine began the prompt it works on.
    EngineLoad m_engineLoad;
    bool m_isLeaving = false;
    bool m_isEngineUp = true;
};

} // namespace Verbena::Decisions
