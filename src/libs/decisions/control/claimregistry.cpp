#include "claimregistry.h"

#include <algorithm>

namespace Verbena::Decisions {

ClaimRegistry::ClaimRegistry(const ClaimOptions &options, std::string owner, std::uint64_t seed, Core::TimePoint now)
    : m_options(options)
    , m_owner(std::move(owner))
    , m_random(seed)
    , m_backoff(BackoffOptions(), m_random.next())
    , m_writeBudget(options.writesPerSecond, options.writesPerSecond, now)
    , m_readBudget(options.readsPerSecond, options.readsPerSecond, now)
    , m_batchLimit(options.batchRows)
{
}

ClaimId ClaimRegistry::claim(const ClaimRequest &request, const ClockReading &reading)
{
    const ClaimId id{++m_lastId};
    const std::string rowKey = claimRowKey(request.organisation, request.team, request.idempotencyKey);
    if (const auto known = localResult(rowKey, request.requestHash)) {
        reportResult(id, *known);
        return id;
    }
    Claim claim;
    claim.id = id;
    claim.rowKey = rowKey;
    claim.record.token = m_owner + "." + std::to_string(m_random.next()) + "." + std::to_string(m_lastId);
    claim.record.requestHash = request.requestHash;
    claim.record.expiry = reading.wall + m_options.lifetime;
    claim.deadline = std::min(request.deadline, reading.now + m_options.decisionTimeout);
    claim.dispatchBy = std::min(request.deadline, reading.now + m_options.dispatchWindow);
    m_deadlines.emplace(claim.deadline, id);
    m_idsByRow.emplace(rowKey, id);
    m_claims.emplace(id, std::move(claim));
    m_waiting.push_back(id);
    return id;
}

// Answers from the claims and updates of this process without an operation on the table.
std::optional<ClaimResult> ClaimRegistry::localResult(const std::string &rowKey, std::uint64_t requestHash) const
{
    const auto same = m_idsByRow.find(rowKey);
    if (same != m_idsByRow.end()) {
        return ClaimResult::duplicate(m_claims.at(same->second).record, requestHash);
    }
    if (!m_updates.contains(rowKey)) {
        return std::nullopt;
    }
    const auto value = m_updates.valueFor(rowKey);
    if (!value) {
        return ClaimResult::notClaimed("An earlier claim of the idempotency key, which did not run, is still being withdrawn.");
    }
    const auto record = ClaimRecord::decode(*value);
    return record ? ClaimResult::duplicate(record.value(), requestHash) : ClaimResult{};
}

bool ClaimRegistry::mayDispatch(ClaimId id, Core::TimePoint now) const
{
    const Claim *claim = findGranted(id);
    return claim != nullptr && now < claim->dispatchBy;
}

void ClaimRegistry::recordOutcome(ClaimId id, const ClaimOutcome &outcome, Core::TimePoint now)
{
    const Claim *claim = findGranted(id);
    if (claim == nullptr) {
        return;
    }
    ClaimRecord record = claim->record;
    record.outcome = outcome;
    m_updates.add({claim->rowKey, record.token, record.encode(), claim->expectedRevision, now + m_options.updateTimeout});
    remove(id);
}

void ClaimRegistry::release(ClaimId id, Core::TimePoint now)
{
    if (const Claim *claim = findGranted(id)) {
        withdraw(*claim, now);
        remove(id);
    }
}

void ClaimRegistry::abandon(ClaimId id)
{
    if (findGranted(id) != nullptr) {
        remove(id);
    }
}

void ClaimRegistry::handleCommit(OperationId id, const Store::CommitAnswer &answer, const ClockReading &reading)
{
    recordReachability(answer.outcome == Store::CommitOutcome::Committed || answer.outcome == Store::CommitOutcome::Conflict, reading.now);
    if (m_updateCommit == id) {
        m_updateCommit.reset();
        m_updates.handleCommit(answer);
    } else if (m_claimCommit == id) {
        m_claimCommit.reset();
        handleClaimCommit(std::exchange(m_claimCommitIds, {}), answer, reading);
    }
}

void ClaimRegistry::handleClaimCommit(const std::vector<ClaimId> &ids, const Store::CommitAnswer &answer, const ClockReading &reading)
{
    if (answer.outcome == Store::CommitOutcome::Conflict) {
        handleConflict(ids, answer.current, reading);
        return;
    }
    m_batchLimit = m_options.batchRows;
    // Iterates backwards, because requeue() inserts at the front and the order has to be kept.
    for (auto id = ids.rbegin(); id != ids.rend(); ++id) {
        Claim *claim = find(*id);
        if (claim == nullptr) {
            continue;
        }
        switch (answer.outcome) {
        case Store::CommitOutcome::Committed:
            grant(*claim, answer.revision, reading.now);
            break;
        case Store::CommitOutcome::Unknown:
            claim->mayBeWritten = true;
            requeue(*claim, Phase::Uncertain);
            break;
        case Store::CommitOutcome::NotSent:
        case Store::CommitOutcome::Conflict:
            requeue(*claim, Phase::Waiting);
            break;
        }
    }
}

// A single conflicting claim fails its whole batch. The claims that the answer names are decided; the others are committed again
// without them.
void ClaimRegistry::handleConflict(const std::vector<ClaimId> &ids, const std::vector<Store::TableRow> &current, const ClockReading &reading)
{
    bool isAnyNamed = false;
    for (auto id = ids.rbegin(); id != ids.rend(); ++id) {
        Claim *claim = find(*id);
        if (claim == nullptr) {
            continue;
        }
        const Store::TableRow *row = findRow(current, claim->rowKey);
        if (row != nullptr) {
            isAnyNamed = true;
            applyRow(*claim, row, reading);
        } else {
            requeue(*claim, ids.size() == 1 ? Phase::Uncertain : Phase::Waiting);
        }
    }
    m_batchLimit = isAnyNamed ? m_options.batchRows : std::max<std::size_t>(1, ids.size() / 2);
}

void ClaimRegistry::handleRows(OperationId id, const Core::Result<std::vector<Store::TableRow>> &rows, const ClockReading &reading)
{
    if (m_read != id) {
        return;
    }
    m_read.reset();
    recordReachability(rows.has_value(), reading.now);
    for (const ClaimId claimId : std::exchange(m_readIds, {})) {
        Claim *claim = find(claimId);
        if (claim == nullptr) {
            continue;
        }
        if (rows) {
            applyRow(*claim, findRow(rows.value(), claim->rowKey), reading);
        } else {
            requeue(*claim, Phase::Uncertain);
        }
    }
}

// Decides a claim by its row in the table: the row holds this claim, or a claim of another request, or leaves the key free.
void ClaimRegistry::applyRow(Claim &claim, const Store::TableRow *row, const ClockReading &reading)
{
    if (row == nullptr || row->isDeleted) {
        claim.expectedRevision = row == nullptr ? 0 : row->revision;
        requeue(claim, Phase::Waiting);
        return;
    }
    const auto record = ClaimRecord::decode(row->value);
    if (!record) {
        finish(claim.id, ClaimResult::duplicate(ClaimRecord{{}, claim.record.requestHash, {}, {}}, claim.record.requestHash));
        return;
    }
    if (record.value().token == claim.record.token) {
        grant(claim, row->revision, reading.now);
        return;
    }
    if (record.value().expiry + m_options.clockSkew <= reading.wall) {
        claim.expectedRevision = row->revision;
        requeue(claim, Phase::Waiting);
        return;
    }
    finish(claim.id, ClaimResult::duplicate(record.value(), claim.record.requestHash));
}

void ClaimRegistry::grant(Claim &claim, std::uint64_t revision, Core::TimePoint now)
{
    claim.expectedRevision = revision;
    claim.mayBeWritten = true;
    if (claim.deadline <= now) {
        withdraw(claim, now);
        finish(claim.id, ClaimResult::notClaimed("The claim was committed after its deadline."));
        return;
    }
    claim.phase = Phase::Granted;
    ClaimResult result;
    result.verdict = ClaimVerdict::Granted;
    result.dispatchBy = claim.dispatchBy;
    reportResult(claim.id, result);
}

void ClaimRegistry::withdraw(const Claim &claim, Core::TimePoint now)
{
    m_updates.add({claim.rowKey, claim.record.token, std::nullopt, claim.expectedRevision, now + m_options.updateTimeout});
}

void ClaimRegistry::advance(const ClockReading &reading)
{
    expireClaims(reading.now);
    if (reading.now < m_backoff.notBefore()) {
        return;
    }
    beginRead(reading.now);
    beginCommits(reading.now);
}

// Includes claims for which the backoff permits no operation before their deadline, so that their callers need not wait in vain.
void ClaimRegistry::expireClaims(Core::TimePoint now)
{
    const Core::TimePoint limit = std::max(now, m_backoff.notBefore());
    auto entry = m_deadlines.begin();
    while (entry != m_deadlines.end() && entry->first <= limit) {
        const Claim *claim = find(entry->second);
        const bool isPending = claim != nullptr && claim->phase != Phase::Granted;
        if (isPending && entry->first > now && claim->phase != Phase::Waiting) {
            ++entry;
            continue;
        }
        if (isPending) {
            // The withdrawal also prevents a commit that is still on its way from taking effect. The request was never dispatched.
            if (claim->mayBeWritten || claim->phase != Phase::Waiting) {
                withdraw(*claim, now);
            }
            finish(claim->id, ClaimResult::notClaimed("The claim could not be committed to the table in time."));
        }
        entry = m_deadlines.erase(entry);
    }
}

void ClaimRegistry::beginCommits(Core::TimePoint now)
{
    // Alternates between updates and claims, so that neither starves the other.
    const bool isUpdateFirst = !m_wasUpdateLast;
    if (isUpdateFirst && beginUpdateCommit(now)) {
        return;
    }
    if (beginClaimCommit(now)) {
        return;
    }
    if (!isUpdateFirst) {
        beginUpdateCommit(now);
    }
}

bool ClaimRegistry::beginClaimCommit(Core::TimePoint now)
{
    if (m_claimCommit || m_waiting.empty() || m_writeBudget.nextFree(now) > now) {
        return false;
    }
    m_claimCommitIds = takeQueued(m_waiting, Phase::Waiting, Phase::Committing, m_batchLimit);
    std::vector<Store::RowWrite> writes;
    for (const ClaimId id : m_claimCommitIds) {
        const Claim *claim = find(id);
        writes.push_back({claim->rowKey, claim->record.encode(), claim->expectedRevision});
    }
    m_claimCommit = beginCommit(std::move(writes), now);
    m_wasUpdateLast = m_wasUpdateLast && !m_claimCommit;
    return m_claimCommit.has_value();
}

bool ClaimRegistry::beginUpdateCommit(Core::TimePoint now)
{
    if (m_updateCommit || !m_updates.isWaiting() || m_writeBudget.nextFree(now) > now) {
        return false;
    }
    m_updateCommit = beginCommit(m_updates.beginCommit(m_options.batchRows, now), now);
    m_wasUpdateLast = m_wasUpdateLast || m_updateCommit;
    return m_updateCommit.has_value();
}

std::optional<OperationId> ClaimRegistry::beginCommit(std::vector<Store::RowWrite> writes, Core::TimePoint now)
{
    if (writes.empty()) {
        return std::nullopt;
    }
    m_writeBudget.tryConsume(now);
    const OperationId id = newOperation();
    m_actions.emplace_back(CommitRows{id, std::move(writes), now + m_options.operationTimeout});
    return id;
}

void ClaimRegistry::beginRead(Core::TimePoint now)
{
    if (m_read || m_uncertain.empty() || m_readBudget.nextFree(now) > now) {
        return;
    }
    ReadRows read;
    m_readIds = takeQueued(m_uncertain, Phase::Uncertain, Phase::Reading, m_options.batchRows);
    for (const ClaimId id : m_readIds) {
        read.keys.push_back(find(id)->rowKey);
    }
    if (read.keys.empty()) {
        return;
    }
    m_readBudget.tryConsume(now);
    read.id = newOperation();
    read.deadline = now + m_options.operationTimeout;
    m_read = read.id;
    m_actions.emplace_back(std::move(read));
}

// A queue may contain claims that were decided in the meantime; they are skipped.
std::vector<ClaimId> ClaimRegistry::takeQueued(std::deque<ClaimId> &queue, Phase phase, Phase nextPhase, std::size_t limit)
{
    std::vector<ClaimId> ids;
    while (!queue.empty() && ids.size() < limit) {
        Claim *claim = find(queue.front());
        queue.pop_front();
        if (claim != nullptr && claim->phase == phase) {
            claim->phase = nextPhase;
            ids.push_back(claim->id);
        }
    }
    return ids;
}

void ClaimRegistry::requeue(Claim &claim, Phase phase)
{
    claim.phase = phase;
    (phase == Phase::Waiting ? m_waiting : m_uncertain).push_front(claim.id);
}

std::vector<ClaimAction> ClaimRegistry::takeActions()
{
    return std::exchange(m_actions, {});
}

std::optional<Core::TimePoint> ClaimRegistry::nextDeadline(Core::TimePoint now) const
{
    std::optional<Core::TimePoint> next;
    const auto consider = [&next](Core::TimePoint time) {
        next = next ? std::min(*next, time) : time;
    };
    if (!m_deadlines.empty()) {
        consider(m_deadlines.begin()->first);
    }
    const bool isClaimDue = !m_waiting.empty() && !m_claimCommit;
    const bool isUpdateDue = m_updates.isWaiting() && !m_updateCommit;
    if (isClaimDue || isUpdateDue) {
        consider(std::max(m_backoff.notBefore(), m_writeBudget.nextFree(now)));
    }
    if (!m_uncertain.empty() && !m_read) {
        consider(std::max(m_backoff.notBefore(), m_readBudget.nextFree(now)));
    }
    return next;
}

ClaimRegistry::Claim *ClaimRegistry::find(ClaimId id)
{
    const auto found = m_claims.find(id);
    return found == m_claims.end() ? nullptr : &found->second;
}

const ClaimRegistry::Claim *ClaimRegistry::findGranted(ClaimId id) const
{
    const auto found = m_claims.find(id);
    return found != m_claims.end() && found->second.phase == Phase::Granted ? &found->second : nullptr;
}

void ClaimRegistry::reportResult(ClaimId id, ClaimResult result)
{
    m_actions.emplace_back(ReportClaimResult{id, std::move(result)});
}

void ClaimRegistry::finish(ClaimId id, ClaimResult result)
{
    reportResult(id, std::move(result));
    remove(id);
}

void ClaimRegistry::remove(ClaimId id)
{
    const auto found = m_claims.find(id);
    m_idsByRow.erase(found->second.rowKey);
    m_claims.erase(found);
}

void ClaimRegistry::recordReachability(bool isReached, Core::TimePoint now)
{
    if (isReached) {
        m_backoff.recordSuccess();
    } else {
        m_backoff.recordFailure(now);
    }
}

OperationId ClaimRegistry::newOperation()
{
    return OperationId{++m_lastOperation};
}

} // namespace Verbena::Decisions
