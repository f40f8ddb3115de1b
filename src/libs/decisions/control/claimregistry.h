#pragma once

#include "backoff.h"
#include "claimtypes.h"
#include "claimupdates.h"
#include "clockreading.h"
#include "storebudget.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Claims requests that may run at most once, by a conditional write before they are dispatched.
///
/// Call advance() after every event and at nextDeadline(), and execute the actions that takeActions() returns.
class ClaimRegistry
{
public:
    /// \brief \a owner is the name of the process. \a seed must differ between any two starts. Both are part of the tokens of claims.
    ClaimRegistry(const ClaimOptions &options, std::string owner, std::uint64_t seed, Core::TimePoint now);

    /// \brief Requests a claim. Its result is reported once by ReportClaimResult.
    ClaimId claim(const ClaimRequest &request, const ClockReading &reading);

    /// \brief Returns true while a granted claim may be dispatched. Call it right before the dispatch.
    bool mayDispatch(ClaimId id, Core::TimePoint now) const;

    /// \brief Records the outcome of the run of a granted claim, so that duplicates can be answered with it.
    void recordOutcome(ClaimId id, const ClaimOutcome &outcome, Core::TimePoint now);

    /// \brief Withdraws a granted claim whose request certainly did not run, so that the key may be used again.
    void release(ClaimId id, Core::TimePoint now);

    /// \brief Ends a granted claim without an outcome, because it is unknown whether the request ran.
    void abandon(ClaimId id);

    void handleCommit(OperationId id, const Store::CommitAnswer &answer, const ClockReading &reading);
    void handleRows(OperationId id, const Core::Result<std::vector<Store::TableRow>> &rows, const ClockReading &reading);

    /// \brief Ends claims that are late and begins operations that are due.
    void advance(const ClockReading &reading);

    /// \brief Returns the actions to execute, in order, and removes them from the registry.
    std::vector<ClaimAction> takeActions();

    /// \brief Returns when advance() is due if no event occurs before.
    std::optional<Core::TimePoint> nextDeadline(Core::TimePoint now) const;

private:
    enum class Phase {
        Waiting, ///< Queued for a commit.
        Committing,
        Uncertain, ///< The commit may have taken effect; queued for a read.
        Reading,
        Granted,
    };

    struct Claim
    {
        ClaimId id{};
        std::string rowKey;
        ClaimRecord record;
        std::uint64_t expectedRevision = 0;
        Core::TimePoint deadline;
        Core::TimePoint dispatchBy;
        Phase phase = Phase::Waiting;
        bool mayBeWritten = false; ///< A commit was sent that may have taken effect or may still do so.
    };

    Claim *find(ClaimId id);
    const Claim *findGranted(ClaimId id) const;
    void recordReachability(bool isReached, Core::TimePoint now);
    void reportResult(ClaimId id, ClaimResult result);
    void finish(ClaimId id, ClaimResult result);
    void remove(ClaimId id);
    std::optional<ClaimResult> localResult(const std::string &rowKey, std::uint64_t requestHash) const;
    void withdraw(const Claim &claim, Core::TimePoint now);
    void expireClaims(Core::TimePoint now);
    void grant(Claim &claim, std::uint64_t revision, Core::TimePoint now);
    void applyRow(Claim &claim, const Store::TableRow *row, const ClockReading &reading);
    void handleClaimCommit(const std::vector<ClaimId> &ids, const Store::CommitAnswer &answer, const ClockReading &reading);
    void handleConflict(const std::vector<ClaimId> &ids, const std::vector<Store::TableRow> &current, const ClockReading &reading);
    std::vector<ClaimId> takeQueued(std::deque<ClaimId> &queue, Phase phase, Phase nextPhase, std::size_t limit);
    void beginCommits(Core::TimePoint now);
    bool beginClaimCommit(Core::TimePoint now);
    bool beginUpdateCommit(Core::TimePoint now);
    std::optional<OperationId> beginCommit(std::vector<Store::RowWrite> writes, Core::TimePoint now);
    void beginRead(Core::TimePoint now);
    void requeue(Claim &claim, Phase phase);
    OperationId newOperation();

    ClaimOptions m_options;
    std::string m_owner;
    RandomSource m_random;
    Backoff m_backoff;
    StoreBudget m_writeBudget;
    StoreBudget m_readBudget;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastOperation = 0;
    std::size_t m_batchLimit;
    bool m_wasUpdateLast = false;
    std::map<ClaimId, Claim> m_claims;
    std::unordered_map<std::string, ClaimId> m_idsByRow;
    std::deque<ClaimId> m_waiting;
    std::deque<ClaimId> m_uncertain;
    std::multimap<Core::TimePoint, ClaimId> m_deadlines;
    std::optional<OperationId> m_claimCommit;
    std::vector<ClaimId> m_claimCommitIds;
    std::optional<OperationId> m_updateCommit;
    std::optional<OperationId> m_read;
    std::vector<ClaimId> m_readIds;
    ClaimUpdates m_updates;
    std::vector<ClaimAction> m_actions;
};

} // namespace Verbena::Decisions
