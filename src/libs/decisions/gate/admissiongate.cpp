#include "admissiongate.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

using std::chrono::microseconds;

constexpr std::uint32_t maximumOlderAttempts = 8; // Number of earlier attempts that are searched for.
constexpr microseconds minimumRetryAfter(50000);
constexpr microseconds maximumRetryAfter(10000000);

microseconds durationBetween(Core::TimePoint begin, Core::TimePoint end)
{
    return std::chrono::duration_cast<microseconds>(end - begin);
}

} // namespace

AdmissionGate::AdmissionGate(const AdmissionGateOptions &options)
    : m_options(options)
    , m_cache(options.cache)
    , m_cost(options.cost)
    , m_duplicates(options.duplicateCapacity, options.duplicateMargin)
    , m_overload(options.overload)
    , m_prefixLoad(options.prefixLoad)
{
}

std::vector<GateAction> AdmissionGate::submit(GateRequest request, Core::TimePoint now)
{
    std::vector<GateAction> actions;
    if (std::optional<GateAction> answer = answerDuplicate(request, now)) {
        actions.push_back(std::move(*answer));
        return actions;
    }
    cancelOlderAttempts(request.ref, actions);
    m_duplicates.recordQueued(request);
    updateOverloadLevel(now);
    if (std::optional<GateAction> refusal = checkAdmission(request, now)) {
        m_duplicates.recordNotRun(request.ref);
        actions.push_back(std::move(*refusal));
        return actions;
    }
    enqueue(std::move(request), now);
    startQueued(now, actions);
    while (m_queue.size() > m_options.maximumQueued) {
        // Evicts from the flow with the most queued work for its share, so that a flood in one flow does not evict requests of others.
        refuseQueued(*m_attemptsByEntry.at(*m_queue.newestOfLargestFlow()), GateRefusal::QueueFull, now, actions);
    }
    return actions;
}

std::vector<GateAction> AdmissionGate::cancel(const RequestRef &ref, Core::TimePoint now)
{
    std::vector<GateAction> actions;
    Attempt *attempt = findAttempt(ref);
    if (attempt == nullptr) {
        return actions;
    }
    if (attempt->state != State::Queued) {
        if (!attempt->isCancelled) {
            attempt->isCancelled = true;
            actions.emplace_back(CancelRun{ref});
        }
        return actions;
    }
    m_duplicates.recordNotRun(ref);
    m_queue.erase(attempt->entryId);
    actions.emplace_back(DropQueued{ref});
    removeAttempt(*attempt);
    startQueued(now, actions);
    return actions;
}

std::vector<GateAction> AdmissionGate::handleFirstToken(const RequestRef &ref, std::optional<std::uint32_t> cachedTokens, Core::TimePoint now)
{
    std::vector<GateAction> actions;
    Attempt *attempt = findAttempt(ref);
    if (attempt == nullptr || attempt->state != State::Prefill) {
        return actions;
    }
    attempt->measuredPrefill = durationBetween(std::max(attempt->startedAt, m_prefillSince), now);
    if (cachedTokens) {
        addPrefillSample(*attempt, *cachedTokens);
    }
    removePrefill(*attempt, now);
    removeExpectedKeys(attempt->request);
    attempt->state = State::Decode;
    attempt->lastTokenAt = now;
    const std::optional<std::uint32_t> cachedPieces = cachedTokens ? std::optional(*cachedTokens / m_cost.pieceTokens()) : std::nullopt;
    m_cache.recordPromptProcessed(ref, cachedPieces, now);
    startQueued(now, actions);
    return actions;
}

void AdmissionGate::recordTokens(const RequestRef &ref, std::uint32_t count, Core::TimePoint now)
{
    Attempt *attempt = findAttempt(ref);
    if (attempt == nullptr || attempt->state != State::Decode || count == 0) {
        return;
    }
    m_cost.addTokenInterval(durationBetween(attempt->lastTokenAt, now) / count, static_cast<std::uint32_t>(m_running));
    attempt->lastTokenAt = now;
}

std::vector<GateAction> AdmissionGate::handleRunEnded(const RequestRef &ref, const RunOutcome &outcome, Core::TimePoint now)
{
    std::vector<GateAction> actions;
    Attempt *attempt = findAttempt(ref);
    if (attempt == nullptr || attempt->state == State::Queued) {
        return actions;
    }
    if (attempt->state == State::Prefill) {
        removePrefill(*attempt, now);
    }
    const GateRequest &request = attempt->request;
    if (outcome.end == RunEnd::Complete) {
        m_cost.addAnswerLength(outcome.completionTokens, request.maximumTokens);
    }
    // Charges the flow for the work that was used instead of the estimate.
    const std::uint32_t prompt = outcome.promptTokens.value_or(request.promptTokens);
    const std::uint32_t missing = outcome.cachedTokens ? prompt - std::min(prompt, *outcome.cachedTokens) : attempt->missingTokens;
    m_queue.charge(request.flow, m_cost.prefillTime(missing) + m_cost.decodeWorkForTokens(outcome.completionTokens) - attempt->work);
    if (outcome.cachedTokens) {
        addPrefillSample(*attempt, *outcome.cachedTokens);
        m_cache.recordPromptProcessed(ref, *outcome.cachedTokens / m_cost.pieceTokens(), now);
    }
    --m_running;
    removeAttempt(*attempt);
    startQueued(now, actions);
    return actions;
}

void AdmissionGate::setEngineIncarnation(std::uint64_t incarnation)
{
    m_cache.setIncarnation(incarnation);
}

std::vector<GateAction> AdmissionGate::setEngineUp(bool isUp, Core::TimePoint now)
{
    m_isEngineUp = isUp;
    return isUp ? std::vector<GateAction>() : refuseAllQueued(GateRefusal::EngineDown, now);
}

void AdmissionGate::handleCacheEvent(const CacheEvent &event, Core::TimePoint now)
{
    m_cache.handleEvent(event, now);
}

void AdmissionGate::updateEngineLoad(const EngineLoad &load, Core::TimePoint)
{
    m_engineLoad = load;
}

void AdmissionGate::setShares(const std::vector<FlowShare> &shares)
{
    m_queue.setShares(shares);
}

std::vector<GateAction> AdmissionGate::setServed(std::vector<ModelVersion> versions, Core::TimePoint now)
{
    for (const ModelVersion &version : m_served) {
        if (std::find(versions.begin(), versions.end(), version) == versions.end()) {
            m_cache.removeVersion(version);
        }
    }
    m_served = std::move(versions);
    std::vector<Attempt *> unserved;
    for (auto &[ref, attempt] : m_attempts) {
        if (attempt.state == State::Queued && !isServed(attempt.request)) {
            unserved.push_back(&attempt);
        }
    }
    std::vector<GateAction> actions;
    std::sort(unserved.begin(), unserved.end(), [](const Attempt *left, const Attempt *right) { return left->entryId < right->entryId; });
    for (Attempt *attempt : unserved) {
        refuseQueued(*attempt, GateRefusal::NotServed, now, actions);
    }
    return actions;
}

std::vector<GateAction> AdmissionGate::setLeaving(bool isLeaving, Core::TimePoint now)
{
    m_isLeaving = isLeaving;
    return isLeaving ? refuseAllQueued(GateRefusal::Leaving, now) : std::vector<GateAction>();
}

std::vector<GateAction> AdmissionGate::tick(Core::TimePoint now)
{
    std::vector<GateAction> actions;
    m_cache.tick(now);
    while (!m_timeouts.empty() && m_timeouts.begin()->first <= now) {
        Attempt &attempt = *m_attemptsByEntry.at(m_timeouts.begin()->second);
        if (attempt.state == State::Queued) {
            refuseQueued(attempt, GateRefusal::Deadline, now, actions);
            continue;
        }
        m_timeouts.erase(m_timeouts.begin());
        if (!attempt.isCancelled) {
            attempt.isCancelled = true;
            actions.emplace_back(CancelRun{attempt.request.ref});
        }
    }
    startQueued(now, actions);
    updateOverloadLevel(now);
    return actions;
}

std::optional<Core::TimePoint> AdmissionGate::nextDeadline() const
{
    std::optional<Core::TimePoint> next = m_cache.nextDeadline();
    const auto consider = [&next](std::optional<Core::TimePoint> other) {
        if (other && (!next || *other < *next)) {
            next = other;
        }
    };
    consider(m_overload.nextDeadline());
    if (!m_timeouts.empty()) {
        consider(m_timeouts.begin()->first);
    }
    return next;
}

LoadReport AdmissionGate::load(Core::TimePoint now) const
{
    LoadReport report;
    report.incarnation = m_cache.incarnation();
    report.queuedWork = totalWait(now);
    report.running = static_cast<std::uint32_t>(m_running);
    report.queued = static_cast<std::uint32_t>(m_queue.size());
    report.overloadLevel = m_overload.level();
    report.prefillPerPiece = m_cost.prefillPerPiece();
    report.isLeaving = m_isLeaving;
    return report;
}

std::uint32_t AdmissionGate::warmPieces(const std::vector<PrefixKey> &keys, Core::TimePoint now) const
{
    // Keys are chained: a prompt with one of them also has all keys before it.
    std::uint32_t expected = 0;
    while (expected < keys.size() && m_expectedKeys.contains(keys[expected])) {
        ++expected;
    }
    return std::max(expected, m_cache.likelyPieces(keys, now));
}

std::optional<HotPrefixHint> AdmissionGate::hotPrefixHint(const std::vector<PrefixKey> &keys) const
{
    return m_prefixLoad.hint(keys);
}

bool AdmissionGate::isLeaving() const
{
    return m_isLeaving;
}

std::size_t AdmissionGate::running() const
{
    return m_running;
}

std::size_t AdmissionGate::queued() const
{
    return m_queue.size();
}

const CacheIndex &AdmissionGate::cache() const
{
    return m_cache;
}

const CostModel &AdmissionGate::cost() const
{
    return m_cost;
}

std::optional<GateAction> AdmissionGate::answerDuplicate(const GateRequest &request, Core::TimePoint now)
{
    switch (m_duplicates.check(request, now)) {
    case DuplicateFilter::Verdict::New:
        return std::nullopt;
    case DuplicateFilter::Verdict::Queued:
        return ReportDuplicate{request.ref, DuplicateState::Queued};
    case DuplicateFilter::Verdict::MayHaveRun:
        return ReportDuplicate{request.ref, DuplicateState::MayHaveRun};
    case DuplicateFilter::Verdict::Refused:
    case DuplicateFilter::Verdict::Superseded:
        return Refuse{request.ref, GateRefusal::Superseded, microseconds(0)};
    case DuplicateFilter::Verdict::CapacityReached:
        return Refuse{request.ref, GateRefusal::QueueFull, minimumRetryAfter};
    }
    return std::nullopt;
}

microseconds AdmissionGate::currentCost(QueueEntryId id) const
{
    const GateRequest &request = m_attemptsByEntry.at(id)->request;
    return m_cost.prefillTime(m_cost.missingTokens(request.promptTokens, m_cache.likelyPieces(request.keys, m_currentTime)));
}

// The checks are in ascending order of their cost.
std::optional<GateAction> AdmissionGate::checkAdmission(const GateRequest &request, Core::TimePoint now)
{
    const auto refuse = [this, &request, now](GateRefusal reason) {
        return Refuse{request.ref, reason, retryAfter(reason, request.flow, now)};
    };
    if (m_isLeaving) {
        return refuse(GateRefusal::Leaving);
    }
    if (!m_isEngineUp) {
        return refuse(GateRefusal::EngineDown);
    }
    if (m_overload.isRefused(request.mark)) {
        return refuse(GateRefusal::Overload);
    }
    if (!isServed(request)) {
        return refuse(GateRefusal::NotServed);
    }
    Attempt candidate;
    candidate.request = request;
    updateEstimates(candidate, now);
    m_prefixLoad.recordDemand(request.keys, candidate.work, now);
    if (now + expectedWait(request.flow, now) + candidate.expectedDuration > request.deadline) {
        return refuse(GateRefusal::Deadline);
    }
    return std::nullopt;
}

// A router sends a later attempt only after it has abandoned the earlier ones.
void AdmissionGate::cancelOlderAttempts(const RequestRef &ref, std::vector<GateAction> &actions)
{
    for (std::uint32_t back = 1; back <= maximumOlderAttempts && back < ref.attempt; ++back) {
        const RequestRef older{ref.request, ref.attempt - back};
        Attempt *attempt = findAttempt(older);
        if (attempt == nullptr) {
            continue;
        }
        if (attempt->state == State::Queued) {
            m_duplicates.recordNotRun(older);
            m_queue.erase(attempt->entryId);
            actions.emplace_back(DropQueued{older});
            removeAttempt(*attempt);
        } else if (!attempt->isCancelled) {
            attempt->isCancelled = true;
            actions.emplace_back(CancelRun{older});
        }
    }
}

void AdmissionGate::enqueue(GateRequest request, Core::TimePoint now)
{
    const RequestRef ref = request.ref;
    Attempt &attempt = m_attempts[ref];
    attempt.request = std::move(request);
    attempt.entryId = QueueEntryId(++m_lastEntryId);
    attempt.queuedAt = now;
    attempt.queuedWorkAhead = m_queue.queuedWork();
    updateEstimates(attempt, now);
    attempt.timeoutAt = attempt.request.deadline - attempt.expectedDuration;
    m_attemptsByEntry[attempt.entryId] = &attempt;
    m_timeouts.emplace(attempt.timeoutAt, attempt.entryId);
    m_queue.push(attempt.request.flow, QueueEntry{attempt.entryId, attempt.work});
    addExpectedKeys(attempt.request);
}

void AdmissionGate::startQueued(Core::TimePoint now, std::vector<GateAction> &actions)
{
    m_currentTime = now;
    while (m_isEngineUp && hasEngineCapacity(now)) {
        const std::optional<QueueEntry> entry = m_queue.popCheapest(*this, m_options.reorderLimits);
        if (!entry) {
            return;
        }
        start(*m_attemptsByEntry.at(entry->id), now, actions);
    }
}

void AdmissionGate::start(Attempt &attempt, Core::TimePoint now, std::vector<GateAction> &actions)
{
    const microseconds charged = attempt.work;
    updateEstimates(attempt, now);
    if (now + attempt.expectedDuration > attempt.request.deadline) {
        m_queue.charge(attempt.request.flow, -charged);
        refuseQueued(attempt, GateRefusal::Deadline, now, actions);
        return;
    }
    m_queue.charge(attempt.request.flow, attempt.work - charged);
    m_cost.addQueueWait(attempt.queuedWorkAhead, durationBetween(attempt.queuedAt, now));
    m_duplicates.recordStarted(attempt.request.ref);
    m_timeouts.erase({attempt.timeoutAt, attempt.entryId});
    attempt.timeoutAt = attempt.request.deadline;
    m_timeouts.emplace(attempt.timeoutAt, attempt.entryId);
    attempt.state = State::Prefill;
    attempt.startedAt = now;
    if (m_prefills.empty()) {
        m_prefillSince = now;
    }
    m_prefills.push_back(&attempt);
    ++m_running;
    m_cache.recordRunStarted(attempt.request.ref, attempt.request.version, attempt.request.keys);
    actions.emplace_back(StartRun{attempt.request.ref, m_cache.likelyPieces(attempt.request.keys, now), durationBetween(attempt.queuedAt, now)});
}

void AdmissionGate::refuseQueued(Attempt &attempt, GateRefusal reason, Core::TimePoint now, std::vector<GateAction> &actions)
{
    m_duplicates.recordNotRun(attempt.request.ref);
    m_queue.erase(attempt.entryId);
    actions.emplace_back(Refuse{attempt.request.ref, reason, retryAfter(reason, attempt.request.flow, now)});
    removeAttempt(attempt);
}

std::vector<GateAction> AdmissionGate::refuseAllQueued(GateRefusal reason, Core::TimePoint now)
{
    std::vector<GateAction> actions;
    while (const std::optional<QueueEntryId> entryId = m_queue.newestOfLargestFlow()) {
        refuseQueued(*m_attemptsByEntry.at(*entryId), reason, now, actions);
    }
    return actions;
}

void AdmissionGate::updateOverloadLevel(Core::TimePoint now)
{
    m_overload.addWaitSample(totalWait(now), now);
}

void AdmissionGate::updateEstimates(Attempt &attempt, Core::TimePoint now) const
{
    const GateRequest &request = attempt.request;
    const std::uint32_t warm
        = attempt.state == State::Queued && attempt.entryId == QueueEntryId{} ? warmPieces(request.keys, now) : m_cache.likelyPieces(request.keys, now);
    attempt.missingTokens = m_cost.missingTokens(request.promptTokens, warm) + request.resumeTokens;
    attempt.prefill = m_cost.prefillTime(attempt.missingTokens);
    const std::uint32_t tokensLeft = request.maximumTokens - std::min(request.maximumTokens, request.resumeTokens);
    attempt.work = attempt.prefill + m_cost.expectedDecodeWork(tokensLeft);
    attempt.expectedDuration = attempt.prefill + m_cost.expectedAnswerDuration(tokensLeft);
}

// Most engines report only with the last token how much of the prompt was cached.
void AdmissionGate::addPrefillSample(Attempt &attempt, std::uint32_t cachedTokens)
{
    if (attempt.measuredPrefill) {
        const std::uint32_t tokens = attempt.request.promptTokens + attempt.request.resumeTokens;
        m_cost.addPrefill(tokens - std::min(cachedTokens, tokens), *attempt.measuredPrefill);
        attempt.measuredPrefill.reset();
    }
}

// The difference between the prompt's actual and expected time is dropped with it: the next prompt counts as begun now.
void AdmissionGate::removePrefill(Attempt &attempt, Core::TimePoint now)
{
    std::erase(m_prefills, &attempt);
    m_prefillSince = now;
}

// Limits the prompts that wait inside the engine, because shares and deadlines cannot be applied to them there.
bool AdmissionGate::hasEngineCapacity(Core::TimePoint now) const
{
    return m_running < m_options.maximumRunning && m_prefills.size() < m_options.maximumPrefills && prefillAhead(now) < m_options.maximumPrefillAhead;
}

bool AdmissionGate::isServed(const GateRequest &request) const
{
    return request.isServiceCall || std::find(m_served.begin(), m_served.end(), request.version) != m_served.end();
}

// The engine has been processing the oldest prompt since the previous one finished. The time spent is deducted from this prompt's
// estimate only, because a prompt that takes longer than expected delays all others.
microseconds AdmissionGate::prefillAhead(Core::TimePoint now) const
{
    microseconds ahead(0);
    for (const Attempt *attempt : m_prefills) {
        ahead += attempt->prefill;
    }
    return m_prefills.empty() ? ahead : ahead - std::min(m_prefills.front()->prefill, durationBetween(m_prefillSince, now));
}

microseconds AdmissionGate::expectedWait(const FlowPath &flow, Core::TimePoint now) const
{
    return prefillAhead(now) + m_cost.queueWait(m_queue.expectedWait(flow));
}

microseconds AdmissionGate::retryAfter(GateRefusal reason, const FlowPath &flow, Core::TimePoint now) const
{
    switch (reason) {
    case GateRefusal::QueueFull:
    case GateRefusal::Deadline:
    case GateRefusal::Overload:
        // By then half of the flow's queue will have been served.
        return std::clamp(expectedWait(flow, now) / 2, minimumRetryAfter, maximumRetryAfter);
    case GateRefusal::Leaving:
    case GateRefusal::NotServed:
    case GateRefusal::EngineDown:
    case GateRefusal::Superseded:
        break;
    }
    return microseconds(0);
}

microseconds AdmissionGate::totalWait(Core::TimePoint now) const
{
    return prefillAhead(now) + m_cost.queueWait(m_queue.queuedWork());
}

void AdmissionGate::removeAttempt(Attempt &attempt)
{
    m_timeouts.erase({attempt.timeoutAt, attempt.entryId});
    m_attemptsByEntry.erase(attempt.entryId);
    if (attempt.state != State::Decode) {
        removeExpectedKeys(attempt.request);
    }
    const RequestRef ref = attempt.request.ref;
    m_attempts.erase(ref);
}

void AdmissionGate::addExpectedKeys(const GateRequest &request)
{
    for (const PrefixKey key : request.keys) {
        ++m_expectedKeys[key];
    }
}

void AdmissionGate::removeExpectedKeys(const GateRequest &request)
{
    for (const PrefixKey key : request.keys) {
        const auto found = m_expectedKeys.find(key);
        if (--found->second == 0) {
            m_expectedKeys.erase(found);
        }
    }
}

AdmissionGate::Attempt *AdmissionGate::findAttempt(const RequestRef &ref)
{
    const auto found = m_attempts.find(ref);
    return found == m_attempts.end() ? nullptr : &found->second;
}

} // namespace Verbena::Decisions
