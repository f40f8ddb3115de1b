#include "admissiongate.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

using std::chrono::microseconds;

constexpr std::uint32_t olderAttemptsLookedFor = 8;
constexpr microseconds shortestRetryAfter(50000);
constexpr microseconds longestRetryAfter(10000000);

microseconds spanBetween(Core::TimePoint begin, Core::TimePoint end)
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
    , m_heat(options.heat)
{
}

std::vector<GateAction> AdmissionGate::submit(GateRequest request, Core::TimePoint now)
{
    std::vector<GateAction> actions;
    if (std::optional<GateAction> answer = answerDuplicate(request, now)) {
        actions.push_back(std::move(*answer));
        return actions;
    }
    giveUpOlderAttempts(request.ref, actions);
    m_duplicates.noteQueued(request);
    noteWait(now);
    if (std::optional<GateAction> refusal = refusalOf(request, now)) {
        m_duplicates.noteNotRun(request.ref);
        actions.push_back(std::move(*refusal));
        return actions;
    }
    enqueue(std::move(request), now);
    startWaiting(now, actions);
    while (m_queue.size() > m_options.maximumQueued) {
        // Room is made by the flow that holds most for its share, so that nobody is pushed out by another's flood.
        refuseQueued(*m_byTicket.at(*m_queue.lastOfLargest()), GateRefusal::QueueFull, now, actions);
    }
    return actions;
}

std::vector<GateAction> AdmissionGate::cancel(const RequestRef &ref, Core::TimePoint now)
{
    std::vector<GateAction> actions;
    Held *held = find(ref);
    if (held == nullptr) {
        return actions;
    }
    if (held->state != State::Queued) {
        if (!held->isCancelled) {
            held->isCancelled = true;
            actions.emplace_back(CancelRun{ref});
        }
        return actions;
    }
    m_duplicates.noteNotRun(ref);
    m_queue.erase(held->ticket);
    actions.emplace_back(DropQueued{ref});
    release(*held);
    startWaiting(now, actions);
    return actions;
}

std::vector<GateAction> AdmissionGate::noteFirstToken(const RequestRef &ref, std::optional<std::uint32_t> cachedTokens, Core::TimePoint now)
{
    std::vector<GateAction> actions;
    Held *held = find(ref);
    if (held == nullptr || held->state != State::Prefill) {
        return actions;
    }
    held->prefillSpan = spanBetween(std::max(held->startedAt, m_prefillSince), now);
    if (cachedTokens) {
        learnPrefill(*held, *cachedTokens);
    }
    endPrefill(*held, now);
    forgetPrompt(held->request);
    held->state = State::Decode;
    held->lastTokenAt = now;
    const std::optional<std::uint32_t> cachedPieces = cachedTokens ? std::optional(*cachedTokens / m_cost.pieceTokens()) : std::nullopt;
    m_cache.notePromptProcessed(ref, cachedPieces, now);
    startWaiting(now, actions);
    return actions;
}

void AdmissionGate::noteTokens(const RequestRef &ref, std::uint32_t count, Core::TimePoint now)
{
    Held *held = find(ref);
    if (held == nullptr || held->state != State::Decode || count == 0) {
        return;
    }
    m_cost.noteTokenInterval(spanBetween(held->lastTokenAt, now) / count, static_cast<std::uint32_t>(m_running));
    held->lastTokenAt = now;
}

std::vector<GateAction> AdmissionGate::noteRunEnded(const RequestRef &ref, const RunOutcome &outcome, Core::TimePoint now)
{
    std::vector<GateAction> actions;
    Held *held = find(ref);
    if (held == nullptr || held->state == State::Queued) {
        return actions;
    }
    if (held->state == State::Prefill) {
        endPrefill(*held, now);
    }
    const GateRequest &request = held->request;
    if (outcome.end == RunEnd::Complete) {
        m_cost.noteAnswerLength(outcome.completionTokens, request.maximumTokens);
    }
    // The flow pays for what was used, not for what had been estimated.
    const std::uint32_t prompt = outcome.promptTokens.value_or(request.promptTokens);
    const std::uint32_t missing = outcome.cachedTokens ? prompt - std::min(prompt, *outcome.cachedTokens) : held->missingTokens;
    m_queue.charge(request.flow, m_cost.prefill(missing) + m_cost.decodeWorkOf(outcome.completionTokens) - held->work);
    if (outcome.cachedTokens) {
        learnPrefill(*held, *outcome.cachedTokens);
        m_cache.notePromptProcessed(ref, *outcome.cachedTokens / m_cost.pieceTokens(), now);
    }
    --m_running;
    release(*held);
    startWaiting(now, actions);
    return actions;
}

void AdmissionGate::noteEngineIncarnation(std::uint64_t incarnation)
{
    m_cache.noteIncarnation(incarnation);
}

std::vector<GateAction> AdmissionGate::setEngineUp(bool isUp, Core::TimePoint now)
{
    m_isEngineUp = isUp;
    return isUp ? std::vector<GateAction>() : refuseAllQueued(GateRefusal::EngineDown, now);
}

void AdmissionGate::noteCacheEvent(const CacheEvent &event, Core::TimePoint now)
{
    m_cache.noteEvent(event, now);
}

void AdmissionGate::noteEngineLoad(const EngineLoad &load, Core::TimePoint)
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
            m_cache.dropVersion(version);
        }
    }
    m_served = std::move(versions);
    std::vector<Held *> unserved;
    for (auto &[ref, held] : m_held) {
        if (held.state == State::Queued && !isServed(held.request)) {
            unserved.push_back(&held);
        }
    }
    std::vector<GateAction> actions;
    std::sort(unserved.begin(), unserved.end(), [](const Held *left, const Held *right) { return left->ticket < right->ticket; });
    for (Held *held : unserved) {
        refuseQueued(*held, GateRefusal::NotServed, now, actions);
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
    while (!m_alarms.empty() && m_alarms.begin()->first <= now) {
        Held &held = *m_byTicket.at(m_alarms.begin()->second);
        if (held.state == State::Queued) {
            refuseQueued(held, GateRefusal::Deadline, now, actions);
            continue;
        }
        m_alarms.erase(m_alarms.begin());
        if (!held.isCancelled) {
            held.isCancelled = true;
            actions.emplace_back(CancelRun{held.request.ref});
        }
    }
    startWaiting(now, actions);
    noteWait(now);
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
    if (!m_alarms.empty()) {
        consider(m_alarms.begin()->first);
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
    // Keys are chained: who waits with one of them brings all before it.
    std::uint32_t expected = 0;
    while (expected < keys.size() && m_expectedKeys.contains(keys[expected])) {
        ++expected;
    }
    return std::max(expected, m_cache.likelyPieces(keys, now));
}

std::optional<HeatHint> AdmissionGate::heatHint(const std::vector<PrefixKey> &keys) const
{
    return m_heat.hint(keys);
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
    case DuplicateFilter::Verdict::NoRoom:
        return Refuse{request.ref, GateRefusal::QueueFull, shortestRetryAfter};
    }
    return std::nullopt;
}

microseconds AdmissionGate::costNow(TicketId id) const
{
    const GateRequest &request = m_byTicket.at(id)->request;
    return m_cost.prefill(m_cost.missingTokens(request.promptTokens, m_cache.likelyPieces(request.keys, m_now)));
}

// Checks come in order of their cost.
std::optional<GateAction> AdmissionGate::refusalOf(const GateRequest &request, Core::TimePoint now)
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
    Held probe;
    probe.request = request;
    estimate(probe, now);
    m_heat.noteDemand(request.keys, probe.work, now);
    if (now + expectedWait(request.flow, now) + probe.span > request.deadline) {
        return refuse(GateRefusal::Deadline);
    }
    return std::nullopt;
}

// A router sends a later attempt only after it has given up on the earlier ones.
void AdmissionGate::giveUpOlderAttempts(const RequestRef &ref, std::vector<GateAction> &actions)
{
    for (std::uint32_t back = 1; back <= olderAttemptsLookedFor && back < ref.attempt; ++back) {
        const RequestRef older{ref.request, ref.attempt - back};
        Held *held = find(older);
        if (held == nullptr) {
            continue;
        }
        if (held->state == State::Queued) {
            m_duplicates.noteNotRun(older);
            m_queue.erase(held->ticket);
            actions.emplace_back(DropQueued{older});
            release(*held);
        } else if (!held->isCancelled) {
            held->isCancelled = true;
            actions.emplace_back(CancelRun{older});
        }
    }
}

void AdmissionGate::enqueue(GateRequest request, Core::TimePoint now)
{
    const RequestRef ref = request.ref;
    Held &held = m_held[ref];
    held.request = std::move(request);
    held.ticket = TicketId(++m_lastTicket);
    held.queuedAt = now;
    held.workBefore = m_queue.queuedWork();
    estimate(held, now);
    held.alarm = held.request.deadline - held.span;
    m_byTicket[held.ticket] = &held;
    m_alarms.emplace(held.alarm, held.ticket);
    m_queue.push(held.request.flow, Ticket{held.ticket, held.work});
    expectPrompt(held.request);
}

void AdmissionGate::startWaiting(Core::TimePoint now, std::vector<GateAction> &actions)
{
    m_now = now;
    while (m_isEngineUp && hasRoom(now)) {
        const std::optional<Ticket> ticket = m_queue.popCheapest(*this, m_options.classOrder);
        if (!ticket) {
            return;
        }
        start(*m_byTicket.at(ticket->id), now, actions);
    }
}

void AdmissionGate::start(Held &held, Core::TimePoint now, std::vector<GateAction> &actions)
{
    const microseconds charged = held.work;
    estimate(held, now);
    if (now + held.span > held.request.deadline) {
        m_queue.charge(held.request.flow, -charged);
        refuseQueued(held, GateRefusal::Deadline, now, actions);
        return;
    }
    m_queue.charge(held.request.flow, held.work - charged);
    m_cost.noteQueueWait(held.workBefore, spanBetween(held.queuedAt, now));
    m_duplicates.noteStarted(held.request.ref);
    m_alarms.erase({held.alarm, held.ticket});
    held.alarm = held.request.deadline;
    m_alarms.emplace(held.alarm, held.ticket);
    held.state = State::Prefill;
    held.startedAt = now;
    if (m_prefills.empty()) {
        m_prefillSince = now;
    }
    m_prefills.push_back(&held);
    ++m_running;
    m_cache.noteRunStarted(held.request.ref, held.request.version, held.request.keys);
    actions.emplace_back(StartRun{held.request.ref, m_cache.likelyPieces(held.request.keys, now), spanBetween(held.queuedAt, now)});
}

void AdmissionGate::refuseQueued(Held &held, GateRefusal reason, Core::TimePoint now, std::vector<GateAction> &actions)
{
    m_duplicates.noteNotRun(held.request.ref);
    m_queue.erase(held.ticket);
    actions.emplace_back(Refuse{held.request.ref, reason, retryAfter(reason, held.request.flow, now)});
    release(held);
}

std::vector<GateAction> AdmissionGate::refuseAllQueued(GateRefusal reason, Core::TimePoint now)
{
    std::vector<GateAction> actions;
    while (const std::optional<TicketId> ticket = m_queue.lastOfLargest()) {
        refuseQueued(*m_byTicket.at(*ticket), reason, now, actions);
    }
    return actions;
}

void AdmissionGate::noteWait(Core::TimePoint now)
{
    m_overload.noteWait(totalWait(now), now);
}

void AdmissionGate::estimate(Held &held, Core::TimePoint now) const
{
    const GateRequest &request = held.request;
    const std::uint32_t warm
        = held.state == State::Queued && held.ticket == TicketId{} ? warmPieces(request.keys, now) : m_cache.likelyPieces(request.keys, now);
    held.missingTokens = m_cost.missingTokens(request.promptTokens, warm) + request.resumeTokens;
    held.prefill = m_cost.prefill(held.missingTokens);
    const std::uint32_t tokensLeft = request.maximumTokens - std::min(request.maximumTokens, request.resumeTokens);
    held.work = held.prefill + m_cost.decodeWork(tokensLeft);
    held.span = held.prefill + m_cost.answerSpan(tokensLeft);
}

// Most engines tell only with the last token how much of the prompt was cached.
void AdmissionGate::learnPrefill(Held &held, std::uint32_t cachedTokens)
{
    if (held.prefillSpan) {
        const std::uint32_t tokens = held.request.promptTokens + held.request.resumeTokens;
        m_cost.notePrefill(tokens - std::min(cachedTokens, tokens), *held.prefillSpan);
        held.prefillSpan.reset();
    }
}

// What the prompt took beyond or below its estimate is forgotten with it: the next one begins now.
void AdmissionGate::endPrefill(Held &held, Core::TimePoint now)
{
    std::erase(m_prefills, &held);
    m_prefillSince = now;
}

// The engine is handed only so many prompts that it has not begun: what waits there is out of the reach of shares and deadlines.
bool AdmissionGate::hasRoom(Core::TimePoint now) const
{
    return m_running < m_options.maximumRunning && m_prefills.size() < m_options.maximumPrefills && prefillAhead(now) < m_options.maximumPrefillAhead;
}

bool AdmissionGate::isServed(const GateRequest &request) const
{
    return request.isServiceCall || std::find(m_served.begin(), m_served.end(), request.version) != m_served.end();
}

// The oldest prompt has been worked on since the one before was done; a prompt that takes longer than expected holds up the rest.
microseconds AdmissionGate::prefillAhead(Core::TimePoint now) const
{
    microseconds ahead(0);
    for (const Held *held : m_prefills) {
        ahead += held->prefill;
    }
    return m_prefills.empty() ? ahead : ahead - std::min(m_prefills.front()->prefill, spanBetween(m_prefillSince, now));
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
        // Half the flow's queue will be gone then.
        return std::clamp(expectedWait(flow, now) / 2, shortestRetryAfter, longestRetryAfter);
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

void AdmissionGate::release(Held &held)
{
    m_alarms.erase({held.alarm, held.ticket});
    m_byTicket.erase(held.ticket);
    if (held.state != State::Decode) {
        forgetPrompt(held.request);
    }
    const RequestRef ref = held.request.ref;
    m_held.erase(ref);
}

void AdmissionGate::expectPrompt(const GateRequest &request)
{
    for (const PrefixKey key : request.keys) {
        ++m_expectedKeys[key];
    }
}

void AdmissionGate::forgetPrompt(const GateRequest &request)
{
    for (const PrefixKey key : request.keys) {
        const auto found = m_expectedKeys.find(key);
        if (--found->second == 0) {
            m_expectedKeys.erase(found);
        }
    }
}

AdmissionGate::Held *AdmissionGate::find(const RequestRef &ref)
{
    const auto found = m_held.find(ref);
    return found == m_held.end() ? nullptr : &found->second;
}

} // namespace Verbena::Decisions
