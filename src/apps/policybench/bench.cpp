#include "bench.h"

#include <algorithm>
#include <numeric>

namespace Verbena::PolicyBench {

using namespace std::chrono_literals;
using Decisions::BackendServerId;

namespace {

constexpr auto hop = 1ms; ///< One-way latency between router and agent.
constexpr auto cacheEventDelay = 50ms;
constexpr auto hostListLag = 5s;
constexpr auto engineOutage = 2s;
constexpr auto staleDelay = 2s;
constexpr auto settlingTime = 10s; ///< Time after the event that the "after" statistics leave out.
constexpr auto leavingGrace = 3s;
constexpr std::uint64_t cacheEventsPerLoss = 500;
constexpr std::uint32_t maximumAttempts = 3;
constexpr std::size_t serversPerAffected = 10; ///< One of this many backend servers crashes or leaves.
// Approximate sizes on the wire: a load hint, and the overhead of a message.
constexpr std::size_t hintBytes = 48;
constexpr std::size_t messageBytes = 64;
const Decisions::ModelVersion modelVersion{"model", "", "1"};

std::string requestName(std::uint64_t id)
{
    return std::to_string(id);
}

std::vector<Decisions::FlowShare> flowShares()
{
    std::vector<Decisions::FlowShare> shares;
    for (std::size_t i = 0; i < Workload::shares().size(); ++i) {
        shares.push_back({Workload::organisationName(i), Workload::shares()[i], "team", 1});
    }
    return shares;
}

Worker createWorker(std::size_t number, const Deployment &deployment)
{
    Decisions::AdmissionGateOptions options;
    // A queue of two uncached prompts doesn't count as overload yet.
    options.overload.highWait = std::chrono::duration_cast<std::chrono::milliseconds>(2 * deployment.promptPieces() * deployment.prefillPerPiece);
    options.overload.lowWait = options.overload.highWait * 3 / 10;
    options.cost.pieceTokens = Deployment::pieceTokens;
    auto gate = std::make_unique<Decisions::AdmissionGate>(options);
    Worker worker{Decisions::backendServerId("e" + std::to_string(number)), std::move(gate), FakeEngine(deployment), 1, 0, {}, {}};
    worker.gate->setShares(flowShares());
    worker.gate->setServed({modelVersion}, {});
    worker.gate->setEngineIncarnation(worker.incarnation);
    return worker;
}

} // namespace

std::unique_ptr<Bench> Bench::create(const BenchOptions &options, const std::string &policy)
{
    std::unique_ptr<Bench> bench(new Bench(options));
    bench->m_policy = Policy::create(policy, options, bench->m_workers);
    if (bench->m_policy == nullptr) {
        return nullptr;
    }
    bench->updateFleet({});
    return bench;
}

Bench::Bench(const BenchOptions &options)
    : m_options(options)
    , m_deployment(Deployment::named(options.deployment))
    , m_workload(options, m_deployment)
    , m_random(options.seed ^ 0x9e3779b97f4a7c15ULL)
    , m_now(1h)
    , m_eventAt(m_now + options.warmUp + options.before)
    , m_end(m_eventAt + options.after)
{
    for (std::size_t i = 0; i < options.workers; ++i) {
        m_workers.push_back(createWorker(i, m_deployment));
        m_indexes.emplace(m_workers.back().id, i);
    }
}

nlohmann::ordered_json Bench::run()
{
    scheduleArrival(m_now);
    schedule(m_eventAt, [this] { startScenarioEvent(); });
    schedule(m_now + 100ms, [this] { sampleQueues(); });
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    const double capacity = m_deployment.capacity(m_options.workers);
    nlohmann::ordered_json json = m_all.toJson(m_options.before + m_options.after, m_options.workers, capacity);
    json["before"] = m_before.toJson(m_options.before, m_options.workers, capacity);
    json["after"] = m_after.toJson(m_options.after - settlingTime, m_options.workers, capacity);
    json["sent_to_leaving_late"] = m_lateDispatchesToLeaving;
    for (const auto &[second, figures] : m_seconds) {
        nlohmann::ordered_json point = figures.toJson(1s, m_options.workers, capacity);
        point.erase("organisations");
        point["second"] = second;
        json["seconds"].push_back(point);
    }
    return json;
}

void Bench::schedule(Core::TimePoint time, std::function<void()> action)
{
    m_events.push({time, ++m_lastEvent, std::move(action)});
}

void Bench::record(const Request &request, const std::function<void(Statistics &)> &change)
{
    const auto sinceEvent = request.arrival - m_eventAt;
    if (sinceEvent < -m_options.before || request.arrival >= m_end) {
        return;
    }
    change(m_all);
    change(m_seconds[std::chrono::floor<std::chrono::seconds>(sinceEvent).count()]);
    if (sinceEvent < 0s) {
        change(m_before);
    } else if (sinceEvent >= settlingTime) {
        change(m_after);
    }
}

void Bench::updateFleet(const std::vector<BackendServerId> &leaving)
{
    std::vector<Decisions::BackendServer> fleet;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        Decisions::BackendServer server;
        server.id = m_workers[i].id;
        server.failureDomain = std::string(1, static_cast<char>('a' + i % 3));
        server.served = {modelVersion};
        const bool isLeaving = std::find(leaving.begin(), leaving.end(), server.id) != leaving.end();
        server.state = isLeaving ? Decisions::BackendServerState::Leaving : Decisions::BackendServerState::Live;
        fleet.push_back(std::move(server));
    }
    m_policy->setFleet(fleet);
}

void Bench::startScenarioEvent()
{
    const std::size_t affected = std::max<std::size_t>(1, m_workers.size() / serversPerAffected);
    std::vector<BackendServerId> leaving;
    for (std::size_t i = 0; i < affected; ++i) {
        if (m_options.scenario == "crash") {
            crash(m_workers[i]);
        } else if (m_options.scenario == "leaving") {
            leaving.push_back(m_workers[i].id);
            execute(m_workers[i], m_workers[i].gate->setLeaving(true, m_now));
        }
    }
    if (m_options.scenario == "leaving") {
        schedule(m_now + hostListLag, [this, leaving] { updateFleet(leaving); });
    } else if (m_options.scenario == "hotshift") {
        m_workload.shiftHotPrefix();
    } else if (m_options.scenario == "herd") {
        m_policy->restartRouters();
    }
}

// Running requests are lost and waiting requests are refused. The engine restarts with an empty cache.
void Bench::crash(Worker &worker)
{
    worker.engine.crash(m_now + engineOutage);
    ++worker.incarnation;
    worker.cacheEvents = 0;
    execute(worker, worker.gate->setEngineUp(false, m_now));
    std::vector<std::uint64_t> lost;
    for (const auto &[id, pending] : m_pending) {
        if (pending.attempt.server == worker.id && pending.isStarted) {
            lost.push_back(id);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const std::uint64_t id : lost) {
        execute(worker, worker.gate->handleRunEnded({requestName(id), m_pending.at(id).attempts}, {Decisions::RunEnd::EngineLost, {}, {}, 0}, m_now));
        schedule(m_now + hop, [this, id] { retry(id); });
    }
    schedule(m_now + engineOutage, [this, &worker] {
        worker.gate->setEngineIncarnation(worker.incarnation);
        execute(worker, worker.gate->setEngineUp(true, m_now));
    });
}

void Bench::scheduleArrival(Core::TimePoint last)
{
    const Request request = m_workload.next(last);
    if (request.arrival >= m_end) {
        return;
    }
    schedule(request.arrival, [this, request] {
        record(request, [&request](Statistics &figures) { figures.recordArrival(request); });
        PendingRequest &pending = m_pending[request.id];
        pending.request = request;
        pending.router = m_random() % m_options.routers;
        pending.attempt.query.version = modelVersion;
        pending.attempt.query.keys = request.keys;
        pending.attempt.query.root = request.root;
        pending.attempt.query.mark = m_policy->mark(pending.router, Workload::organisationName(request.organisation), m_now);
        probe(request.id);
        scheduleArrival(m_now);
    });
}

void Bench::probe(std::uint64_t id)
{
    const PendingRequest &pending = m_pending.at(id);
    const Decisions::RouteDecision probed = m_policy->chooseProbes(pending.router, pending.attempt.query, m_now);
    if (probed.candidates.empty() || probed.isOverloaded) {
        dispatch(id, probed);
        return;
    }
    for (const Decisions::RouteCandidate &candidate : probed.candidates) {
        recordMessage(pending, pending.request.keys.size() * sizeof(Decisions::PrefixKey));
        recordMessage(pending, hintBytes);
        schedule(m_now + hop, [this, id, server = candidate.id] { handleProbe(id, server); });
    }
    schedule(m_now + 2 * hop + 1us, [this, id, probed] { dispatch(id, probed); });
}

void Bench::handleProbe(std::uint64_t id, BackendServerId server)
{
    const PendingRequest &pending = m_pending.at(id);
    const Decisions::AdmissionGate &gate = *m_workers[m_indexes.at(server)].gate;
    const ProbeReply reply{gate.warmPieces(pending.request.keys, m_now), gate.load(m_now)};
    schedule(m_now + hop,
        [this, router = pending.router, query = pending.attempt.query, server, reply] { m_policy->recordProbe(router, server, query, reply, m_now); });
}

void Bench::dispatch(std::uint64_t id, const Decisions::RouteDecision &probed)
{
    PendingRequest &pending = m_pending.at(id);
    const std::optional<BackendServerId> chosen = m_policy->choose(pending.router, pending.attempt.query, probed, m_now);
    if (!chosen.has_value() || pending.attempts == maximumAttempts) {
        record(pending.request, [](Statistics &figures) { figures.recordNotRun(); });
        m_pending.erase(id);
        return;
    }
    ++pending.attempts;
    pending.isStarted = false;
    pending.attempt.server = *chosen;
    pending.attempt.work = m_policy->expectedWork(pending.router, *chosen, pending.attempt.query, m_now);
    m_policy->recordDispatch(pending.router, pending.attempt, m_now);
    recordMessage(pending, pending.request.keys.size() * sizeof(Decisions::PrefixKey));
    Worker &worker = m_workers[m_indexes.at(*chosen)];
    m_lateDispatchesToLeaving += worker.gate->isLeaving() && m_now >= m_eventAt + leavingGrace ? 1 : 0;
    schedule(m_now + hop, [this, id, &worker] { deliver(id, worker); });
}

void Bench::retry(std::uint64_t id)
{
    PendingRequest &pending = m_pending.at(id);
    pending.attempt.query.excluded.push_back(pending.attempt.server);
    probe(id);
}

void Bench::deliver(std::uint64_t id, Worker &worker)
{
    const PendingRequest &pending = m_pending.at(id);
    const Request &request = pending.request;
    Decisions::GateRequest submitted;
    submitted.ref = {requestName(id), pending.attempts};
    submitted.flow = {Workload::organisationName(request.organisation), "team", ""};
    submitted.mark = pending.attempt.query.mark;
    submitted.version = modelVersion;
    submitted.keys = request.keys;
    submitted.promptTokens = static_cast<std::uint32_t>(request.keys.size()) * Deployment::pieceTokens;
    submitted.maximumTokens = m_deployment.answerTokens * 3 / 2;
    submitted.deadline = request.deadline;
    worker.waiting.emplace(id, &request);
    const Reply reply{worker.gate->warmPieces(request.keys, m_now), worker.gate->hotPrefixHint(request.keys)};
    const std::vector<Decisions::GateAction> actions = worker.gate->submit(submitted, m_now);
    const bool isRefused = std::any_of(actions.begin(), actions.end(), [&submitted](const Decisions::GateAction &action) {
        const auto *refusal = std::get_if<Decisions::Refuse>(&action);
        return refusal != nullptr && refusal->ref == submitted.ref;
    });
    if (!isRefused) {
        recordMessage(pending, hintBytes);
        sendLoadReport(pending.router, worker);
        schedule(m_now + hop, [this, router = pending.router, attempt = pending.attempt, reply] { m_policy->recordReply(router, attempt, reply, m_now); });
    }
    execute(worker, actions);
}

void Bench::execute(Worker &worker, const std::vector<Decisions::GateAction> &actions)
{
    for (const Decisions::GateAction &action : actions) {
        if (const auto *started = std::get_if<Decisions::StartRun>(&action)) {
            startRun(worker, std::stoull(started->ref.request));
        } else if (const auto *refused = std::get_if<Decisions::Refuse>(&action)) {
            refuse(worker, *refused);
        }
    }
    scheduleTick(worker);
}

void Bench::startRun(Worker &worker, std::uint64_t id)
{
    PendingRequest &pending = m_pending.at(id);
    pending.isStarted = true;
    worker.waiting.erase(id);
    const FakeRun run = worker.engine.start(pending.request, m_now);
    std::size_t wasted = 0;
    for (std::size_t piece = run.cachedPieces; piece < pending.request.keys.size(); ++piece) {
        wasted += m_computedPrefixes.insert(pending.request.keys[piece]).second ? 0 : 1;
    }
    record(pending.request, [&](Statistics &figures) { figures.recordRun(pending.request, run.cachedPieces, wasted); });
    sendCacheEvents(worker, pending, run);
    const std::uint64_t incarnation = worker.incarnation;
    schedule(run.firstToken, [this, &worker, id, run, incarnation] {
        if (worker.incarnation == incarnation) {
            handleFirstToken(worker, id, run);
        }
    });
    schedule(run.end, [this, &worker, id, incarnation] {
        if (worker.incarnation == incarnation) {
            handleRunEnd(worker, id);
        }
    });
}

void Bench::sendCacheEvents(Worker &worker, const PendingRequest &pending, const FakeRun &run)
{
    const auto blockOf = [](Decisions::PrefixKey key) {
        return Decisions::BlockId(static_cast<std::uint64_t>(key));
    };
    Decisions::CacheEvent removed{worker.incarnation, ++worker.cacheEvents, Decisions::CacheEvent::Kind::Removed, {}, {}, 0};
    std::transform(run.evicted.begin(), run.evicted.end(), std::back_inserter(removed.blocks), blockOf);
    Decisions::CacheEvent stored{worker.incarnation, ++worker.cacheEvents, Decisions::CacheEvent::Kind::Stored, {}, {}, 0};
    stored.request = {requestName(pending.request.id), pending.attempts};
    stored.firstPiece = static_cast<std::uint32_t>(run.cachedPieces);
    const auto firstNew = pending.request.keys.begin() + static_cast<std::ptrdiff_t>(run.cachedPieces);
    std::transform(firstNew, pending.request.keys.end(), std::back_inserter(stored.blocks), blockOf);
    for (const Decisions::CacheEvent &event : {removed, stored}) {
        if (m_random() % cacheEventsPerLoss != 0) {
            schedule(run.firstToken + cacheEventDelay, [this, &worker, event] { worker.gate->handleCacheEvent(event, m_now); });
        }
    }
}

void Bench::handleFirstToken(Worker &worker, std::uint64_t id, const FakeRun &run)
{
    const PendingRequest &pending = m_pending.at(id);
    record(pending.request, [&](Statistics &figures) { figures.recordFirstToken(pending.request, m_now + hop); });
    const auto cachedTokens = static_cast<std::uint32_t>(run.cachedPieces) * Deployment::pieceTokens;
    execute(worker, worker.gate->handleFirstToken({requestName(id), pending.attempts}, cachedTokens, m_now));
    scheduleTick(worker);
}

void Bench::handleRunEnd(Worker &worker, std::uint64_t id)
{
    worker.engine.finish();
    const PendingRequest pending = std::move(m_pending.at(id));
    m_pending.erase(id);
    record(pending.request, [&](Statistics &figures) { figures.recordCompletion(pending.request, m_now + hop); });
    recordMessage(pending, hintBytes);
    sendLoadReport(pending.router, worker);
    worker.gate->recordTokens({requestName(id), pending.attempts}, pending.request.answerTokens, m_now);
    const Decisions::RunOutcome outcome{Decisions::RunEnd::Complete, {}, {}, pending.request.answerTokens};
    execute(worker, worker.gate->handleRunEnded({requestName(id), pending.attempts}, outcome, m_now));
}

void Bench::refuse(Worker &worker, const Decisions::Refuse &action)
{
    const std::uint64_t id = std::stoull(action.ref.request);
    worker.waiting.erase(id);
    recordMessage(m_pending.at(id), hintBytes);
    sendLoadReport(m_pending.at(id).router, worker);
    const bool isUnavailable = action.reason == Decisions::GateRefusal::Leaving || action.reason == Decisions::GateRefusal::EngineDown;
    const Decisions::RouteRefusal refusal{action.retryAfter, {}, isUnavailable};
    const bool isFinal = action.reason == Decisions::GateRefusal::Overload;
    schedule(m_now + hop, [this, id, refusal, isFinal] {
        m_policy->recordRefusal(m_pending.at(id).router, m_pending.at(id).attempt, refusal, m_now);
        m_pending.at(id).attempts = isFinal ? maximumAttempts : m_pending.at(id).attempts;
        retry(id);
    });
}

void Bench::sendLoadReport(std::size_t router, Worker &worker)
{
    const bool isStale = m_options.scenario == "stale" && m_now >= m_eventAt;
    schedule(m_now + (isStale ? staleDelay : hop),
        [this, router, id = worker.id, load = worker.gate->load(m_now)] { m_policy->updateLoad(router, id, load, m_now); });
}

void Bench::scheduleTick(Worker &worker)
{
    const std::optional<Core::TimePoint> next = worker.gate->nextDeadline();
    if (!next.has_value() || (worker.tickAt > m_now && worker.tickAt <= *next)) {
        return;
    }
    worker.tickAt = std::max(*next, m_now + 1us);
    schedule(worker.tickAt, [this, &worker, time = worker.tickAt] {
        if (worker.tickAt == time) {
            execute(worker, worker.gate->tick(m_now));
        }
    });
}

void Bench::recordMessage(const PendingRequest &pending, std::size_t bytes)
{
    record(pending.request, [bytes](Statistics &figures) { figures.recordMessages(1, messageBytes + bytes); });
}

void Bench::sampleQueues()
{
    std::vector<double> waits;
    for (const Worker &worker : m_workers) {
        waits.push_back(std::chrono::duration<double>(worker.gate->load(m_now).queuedWork).count());
    }
    Request now;
    now.arrival = m_now;
    const double mean = std::accumulate(waits.begin(), waits.end(), 0.0) / static_cast<double>(waits.size());
    const double largest = *std::max_element(waits.begin(), waits.end());
    record(now, [&](Statistics &figures) { figures.recordQueues(mean, largest); });
    if (m_now < m_end) {
        schedule(m_now + 100ms, [this] { sampleQueues(); });
    }
}

} // namespace Verbena::PolicyBench
