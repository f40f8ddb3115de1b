#include "runmanager.h"

#include "agentevents.h"
#include "wireconversion.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>

namespace Verbena::Agent {

namespace {

// Models that an engine which does not tell what it holds is assumed to hold.
constexpr std::size_t maximumAssumedModels = 256;

std::chrono::microseconds spanSince(Core::TimePoint begin, Core::TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(now - begin);
}

} // namespace

RunManager::RunManager(EventLoop::Loop &loop, const RunManagerOptions &options, RouterSender &sender, Observe::Metrics &metrics)
    : m_loop(loop)
    , m_options(options)
    , m_metrics(metrics)
    , m_gate(options.gate)
    , m_output(loop, sender, *this)
    , m_tickTimer(loop, [this] { tick(); })
{
}

void RunManager::setBackend(std::unique_ptr<BackendAdapter> backend)
{
    m_backend = std::move(backend);
    m_backend->start();
}

void RunManager::dispatch(const std::string &peer, const verbena::wire::Dispatch &dispatch)
{
    const Decisions::RequestRef ref{dispatch.request(), dispatch.attempt()};
    if (problemOf(dispatch) || !m_backend->isServing(dispatch.kind())) {
        refuse(peer, ref, verbena::wire::REFUSAL_REASON_NOT_SERVED, {});
        return;
    }
    if (m_runs.bodyBytes() + dispatch.body().size() > m_options.maximumBodyBytes) {
        refuse(peer, ref, verbena::wire::REFUSAL_REASON_QUEUE_FULL, {});
        return;
    }
    if (const AgentRun *first = m_runs.find(ref)) {
        m_metrics.count("agent_duplicates_total");
        // The first copy will have its own answer, which goes to where it came from.
        if (first->peer != peer) {
            refuse(peer, ref, verbena::wire::REFUSAL_REASON_DUPLICATE, {});
        }
        return;
    }
    const AgentRun &run = m_runs.insert(AgentRun(peer, dispatch, m_loop.now()));
    serveModelOf(dispatch);
    perform(m_gate.submit(gateRequestOf(run), m_loop.now()));
    const AgentRun *held = m_runs.find(ref);
    if (held != nullptr && !held->end) {
        sendAdmitted(*held);
    }
}

void RunManager::cancel(const std::string &peer, const Decisions::RequestRef &ref)
{
    AgentRun *run = m_runs.find(ref);
    if (run == nullptr || run->peer != peer) {
        return;
    }
    if (run->end) {
        eraseRun(ref);
        return;
    }
    perform(m_gate.cancel(ref, m_loop.now()));
}

void RunManager::grantCredit(const std::string &peer, const Decisions::RequestRef &ref, std::uint32_t frames)
{
    AgentRun *run = m_runs.find(ref);
    if (run != nullptr && run->peer == peer) {
        run->frames.grant(frames);
        flush(*run);
    }
}

void RunManager::refuse(const std::string &peer, const Decisions::RequestRef &ref, verbena::wire::RefusalReason reason, std::chrono::microseconds retryAfter)
{
    verbena::wire::Envelope envelope;
    verbena::wire::Refused &refused = *envelope.mutable_refused();
    refused.set_request(ref.request);
    refused.set_attempt(ref.attempt);
    refused.set_reason(reason);
    refused.set_retry_after_us(static_cast<std::uint64_t>(retryAfter.count()));
    fillLoad({}, *refused.mutable_load());
    m_metrics.count("agent_refused_total");
    m_output.send(peer, envelope);
}

void RunManager::routerGone(const std::string &peer)
{
    const std::vector<Decisions::RequestRef> refs = m_runs.runsOf(peer);
    if (!refs.empty()) {
        Observe::log(routerLost, {{"step", "agent.send"}, {"runs", std::to_string(refs.size())}});
    }
    for (const Decisions::RequestRef &ref : refs) {
        cancel(peer, ref);
    }
    m_output.forget(peer);
}

void RunManager::retryRun(const Decisions::RequestRef &ref)
{
    if (AgentRun *run = m_runs.find(ref)) {
        flush(*run);
    }
}

void RunManager::sendToRouter(const std::string &peer, const verbena::wire::Envelope &message)
{
    m_output.send(peer, message);
}

void RunManager::setShares(const std::vector<Decisions::FlowShare> &shares)
{
    m_gate.setShares(shares);
}

void RunManager::setLeaving(bool isLeaving)
{
    if (m_gate.isLeaving() != isLeaving) {
        Observe::log(isLeaving ? agentLeaving : agentStaying);
        perform(m_gate.setLeaving(isLeaving, m_loop.now()));
    }
}

void RunManager::giveUpRuns()
{
    for (const std::string &peer : m_runs.peers()) {
        for (const Decisions::RequestRef &ref : m_runs.runsOf(peer)) {
            giveUp(ref);
        }
    }
}

void RunManager::giveUp(const Decisions::RequestRef &ref)
{
    AgentRun *run = m_runs.find(ref);
    if (run == nullptr) {
        return;
    }
    if (!run->end) {
        perform(m_gate.cancel(ref, m_loop.now()));
        return;
    }
    // An end without frames is whole and only waits to be sent.
    if (!run->frames.isEmpty()) {
        run->frames.clear();
        run->end->set_kind(verbena::wire::END_KIND_ENGINE_LOST);
        run->end->set_detail("The agent ended before the rest of the answer was asked for.");
        flush(*run);
    }
}

const Decisions::AdmissionGate &RunManager::gate() const
{
    return m_gate;
}

const RunTable &RunManager::runs() const
{
    return m_runs;
}

void RunManager::setReportCallback(std::function<void(const BackendReport &)> callback)
{
    m_reportCallback = std::move(callback);
}

BackendAdapter &RunManager::backend()
{
    return *m_backend;
}

const BackendAdapter &RunManager::backend() const
{
    return *m_backend;
}

const std::vector<Decisions::ModelVersion> &RunManager::servedModels() const
{
    return m_served;
}

void RunManager::fillLoad(const std::vector<Decisions::PrefixKey> &keys, verbena::wire::LoadHint &hint) const
{
    fillLoadHint(m_gate.load(m_loop.now()), m_gate.hotPrefixHint(keys), hint);
}

std::uint32_t RunManager::warmPieces(const std::vector<Decisions::PrefixKey> &keys) const
{
    return m_gate.warmPieces(keys, m_loop.now());
}

bool RunManager::isIdle() const
{
    return m_runs.size() == 0 && m_output.isEmpty();
}

void RunManager::setIdleCallback(std::function<void()> callback)
{
    m_idleCallback = std::move(callback);
}

void RunManager::receiveOutput(const Decisions::RequestRef &ref, std::string_view text, std::uint32_t tokens)
{
    AgentRun *run = m_runs.find(ref);
    if (run == nullptr || run->end) {
        return;
    }
    const Core::TimePoint now = m_loop.now();
    const bool isFirst = run->tokens == 0 && tokens > 0;
    run->tokens += tokens;
    run->frames.push(text, tokens);
    if (isFirst) {
        m_metrics.recordDuration("agent_first_token_seconds", {run->dispatch.organisation(), run->dispatch.request_class()}, spanSince(run->receivedAt, now));
    } else {
        m_gate.recordTokens(ref, tokens, now);
    }
    flush(*run);
    if (isFirst) {
        perform(m_gate.handleFirstToken(ref, std::nullopt, now));
    }
}

void RunManager::finishRun(const Decisions::RequestRef &ref, const BackendEnd &end)
{
    AgentRun *run = m_runs.find(ref);
    if (run == nullptr || run->end) {
        return;
    }
    const Decisions::RunOutcome outcome = outcomeOf(*run, end);
    if (end.kind == BackendEnd::Kind::NotSent) {
        refuse(run->peer, ref, verbena::wire::REFUSAL_REASON_ENGINE_DOWN, {});
        eraseRun(ref);
    } else {
        setEnd(*run, endKindOf(end.kind), end);
    }
    perform(m_gate.handleRunEnded(ref, outcome, m_loop.now()));
    if (AgentRun *ended = m_runs.find(ref)) {
        flush(*ended);
    }
}

void RunManager::receiveReport(const BackendReport &report)
{
    m_gate.updateEngineLoad(report.load, m_loop.now());
    if (m_reportCallback) {
        m_reportCallback(report);
    }
    if (!report.hasModels && m_isServingAll) {
        return;
    }
    m_isServingAll = !report.hasModels;
    if (m_served != report.models) {
        m_served = report.models;
        perform(m_gate.setServed(m_served, m_loop.now()));
    }
}

void RunManager::receiveCacheEvent(const Decisions::CacheEvent &event)
{
    m_gate.handleCacheEvent(event, m_loop.now());
    scheduleTick();
}

void RunManager::incarnationChanged(std::uint64_t incarnation)
{
    Observe::log(backendIncarnation, {{"incarnation", std::to_string(incarnation)}});
    m_gate.setEngineIncarnation(incarnation);
}

void RunManager::availabilityChanged(bool isUp, const Core::Error &reason)
{
    if (isUp) {
        Observe::log(backendUp);
    } else {
        Observe::log(backendDown, reason);
    }
    // First the gate has to know, or what waits would be sent in the place of the runs that are given up.
    perform(m_gate.setEngineUp(isUp, m_loop.now()));
    const bool isHung = !isUp && reason.code != Core::ErrorCode::Unavailable;
    if (isHung) {
        m_backend->loseRuns(reason.message);
    }
}

// Actions may lead to further actions; each is done before what it leads to.
void RunManager::perform(std::vector<Decisions::GateAction> actions)
{
    std::move(actions.begin(), actions.end(), std::back_inserter(m_actions));
    if (m_isPerforming) {
        return;
    }
    m_isPerforming = true;
    while (!m_actions.empty()) {
        const Decisions::GateAction action = std::move(m_actions.front());
        m_actions.pop_front();
        std::visit([this](const auto &one) { performOne(one); }, action);
    }
    m_isPerforming = false;
    scheduleTick();
}

void RunManager::performOne(const Decisions::StartRun &action)
{
    AgentRun *run = m_runs.find(action.ref);
    if (run == nullptr) {
        return;
    }
    run->isStarted = true;
    run->queueWait = action.queueWait;
    m_metrics.recordDuration("agent_queue_wait_seconds", {run->dispatch.organisation(), run->dispatch.request_class()}, action.queueWait);
    m_metrics.count("agent_started_total");
    m_backend->startRun(action.ref, run->dispatch, run->deadline);
}

void RunManager::performOne(const Decisions::Refuse &action)
{
    if (const AgentRun *run = m_runs.find(action.ref)) {
        refuse(run->peer, action.ref, refusalReasonOf(action.reason), action.retryAfter);
        eraseRun(action.ref);
    }
}

void RunManager::performOne(const Decisions::ReportDuplicate &action)
{
    // The first copy is over, or an earlier attempt of a request that may run only once was started here.
    m_metrics.count("agent_duplicates_total");
    if (const AgentRun *run = m_runs.find(action.ref)) {
        refuse(run->peer, action.ref, verbena::wire::REFUSAL_REASON_DUPLICATE, {});
        eraseRun(action.ref);
    }
}

void RunManager::performOne(const Decisions::DropQueued &action)
{
    if (const AgentRun *run = m_runs.find(action.ref)) {
        refuse(run->peer, action.ref, verbena::wire::REFUSAL_REASON_UNSPECIFIED, {});
        eraseRun(action.ref);
    }
}

void RunManager::performOne(const Decisions::CancelRun &action)
{
    AgentRun *run = m_runs.find(action.ref);
    if (run == nullptr || run->end) {
        return;
    }
    m_backend->cancelRun(action.ref);
    m_metrics.count("agent_cancelled_total");
    Decisions::RunOutcome outcome;
    outcome.end = Decisions::RunEnd::Cancelled;
    outcome.completionTokens = run->tokens;
    run->frames.clear();
    const bool isLate = m_loop.now() >= run->deadline;
    setEnd(*run, isLate ? verbena::wire::END_KIND_DEADLINE : verbena::wire::END_KIND_CANCELLED, {});
    perform(m_gate.handleRunEnded(action.ref, outcome, m_loop.now()));
    flush(*run);
}

// An engine that does not tell what it holds is asked for whatever routers want, and answers for itself.
void RunManager::serveModelOf(const verbena::wire::Dispatch &dispatch)
{
    if (!m_isServingAll || dispatch.kind() != verbena::wire::RUN_KIND_COMPLETION) {
        return;
    }
    const Decisions::ModelVersion version{dispatch.model(), dispatch.adapter(), dispatch.weights_version()};
    if (std::find(m_served.begin(), m_served.end(), version) == m_served.end() && m_served.size() < maximumAssumedModels) {
        m_served.push_back(version);
        perform(m_gate.setServed(m_served, m_loop.now()));
    }
}

void RunManager::sendAdmitted(const AgentRun &run)
{
    const std::vector<Decisions::PrefixKey> keys = prefixKeysOf(run.dispatch.prefix_keys());
    verbena::wire::Envelope envelope;
    verbena::wire::Admitted &admitted = *envelope.mutable_admitted();
    admitted.set_request(run.dispatch.request());
    admitted.set_attempt(run.dispatch.attempt());
    admitted.set_warm_pieces(warmPieces(keys));
    fillLoad(keys, *admitted.mutable_load());
    admitted.set_expected_wait_us(run.isStarted ? 0 : admitted.load().queued_work_us());
    m_output.send(run.peer, envelope);
}

void RunManager::setEnd(AgentRun &run, verbena::wire::EndKind kind, const BackendEnd &end)
{
    verbena::wire::Ended &ended = run.end.emplace();
    fillEnded(run, kind, end, ended);
    fillLoad(prefixKeysOf(run.dispatch.prefix_keys()), *ended.mutable_load());
    m_metrics.count("agent_ended_total");
}

void RunManager::flush(AgentRun &run)
{
    const Decisions::RequestRef ref = run.ref();
    if (m_output.flush(run)) {
        eraseRun(ref);
        return;
    }
    // The backend server waits while the router does not allow more frames.
    if (run.frames.isFull() != run.isPaused) {
        run.isPaused = run.frames.isFull();
        if (run.isPaused) {
            m_backend->pauseRun(ref);
        } else {
            m_backend->resumeRun(ref);
        }
    }
}

void RunManager::eraseRun(const Decisions::RequestRef &ref)
{
    m_runs.erase(ref);
    if (isIdle() && m_idleCallback) {
        m_idleCallback();
    }
}

void RunManager::scheduleTick()
{
    if (const std::optional<Core::TimePoint> next = m_gate.nextDeadline()) {
        m_tickTimer.startAt(*next);
    } else {
        m_tickTimer.stop();
    }
}

void RunManager::tick()
{
    perform(m_gate.tick(m_loop.now()));
}

} // namespace Verbena::Agent
