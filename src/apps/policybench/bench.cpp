#include "bench.h"

#include <algorithm>
#include <numeric>

namespace Verbena::PolicyBench {

using namespace std::chrono_literals;
using Decisions::BackendServerId;

namespace {

constexpr auto hop = 1ms; ///< One way between router and agent.
constexpr auto cacheEventDelay = 50ms;
constexpr auto hostListLag = 5s;
constexpr auto engineOutage = 2s;
constexpr auto staleDelay = 2s;
constexpr auto settleTime = 10s; ///< After the event, before the figures "after" begin.
constexpr auto leavingGrace = 3s;
constexpr std::uint64_t cacheEventsToOneLost = 500;
constexpr std::uint32_t maximumAttempts = 3;
constexpr std::size_t partAffected = 10; ///< One backend server in so many crashes or leaves.
// Sizes on the wire, near enough: a load hint, and what a message has besides.
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

Worker workerNumber(std::size_t number, const Deployment &deployment)
{
    Decisions::AdmissionGateOptions options;
    // A queue of two cold prompts is no overload yet.
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
    bench->tellFleet({});
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
        m_workers.push_back(workerNumber(i, m_deployment));
        m_indexes.emplace(m_workers.back().id, i);
    }
}

nlohmann::ordered_json Bench::run()
{
    arrive(m_now);
    at(m_eventAt, [this] { beginEvent(); });
    at(m_now + 100ms, [this] { sampleQueues(); });
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    const double capacity = m_deployment.capacity(m_options.workers);
    nlohmann::ordered_json json = m_all.toJson(m_options.before + m_options.after, m_options.workers, capacity);
    json["before"] = m_before.toJson(m_options.before, m_options.workers, capacity);
    json["after"] = m_after.toJson(m_options.after - settleTime, m_options.workers, capacity);
    json["sent_to_leaving_late"] = m_toLeaving;
    for (const auto &[second, figures] : m_seconds) {
        nlohmann::ordered_json point = figures.toJson(1s, m_options.workers, capacity);
        point.erase("organisations");
        point["second"] = second;
        json["seconds"].push_back(point);
    }
    return json;
}

void Bench::at(Core::TimePoint when, std::function<void()> action)
{
    m_events.push({when, ++m_lastEvent, std::move(action)});
}

void Bench::note(const Request &request, const std::function<void(Figures &)> &change)
{
    const auto sinceEvent = request.arrival - m_eventAt;
    if (sinceEvent < -m_options.before || request.arrival >= m_end) {
        return;
    }
    change(m_all);
    change(m_seconds[std::chrono::floor<std::chrono::seconds>(sinceEvent).count()]);
    if (sinceEvent < 0s) {
        change(m_before);
    } else if (sinceEvent >= settleTime) {
        change(m_after);
    }
}

void Bench::tellFleet(const std::vector<BackendServerId> &leaving)
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

void Bench::beginEvent()
{
    const std::size_t affected = std::max<std::size_t>(1, m_workers.size() / partAffected);
    std::vector<BackendServerId> leaving;
    for (std::size_t i = 0; i < affected; ++i) {
        if (m_options.scenario == "crash") {
            crash(m_workers[i]);
        } else if (m_options.scenario == "leaving") {
            leaving.push_back(m_workers[i].id);
            carryOut(m_workers[i], m_workers[i].gate->setLeaving(true, m_now));
        }
    }
    if (m_options.scenario == "leaving") {
        at(m_now + hostListLag, [this, leaving] { tellFleet(leaving); });
    } else if (m_options.scenario == "hotshift") {
        m_workload.shiftHeat();
    } else if (m_options.scenario == "herd") {
        m_policy->restartRouters();
    }
}

// What runs is lost and what waits is refused; the engine comes back empty.
void Bench::crash(Worker &worker)
{
    worker.engine.crash(m_now + engineOutage);
    ++worker.incarnation;
    worker.cacheEvents = 0;
    carryOut(worker, worker.gate->setEngineUp(false, m_now));
    std::vector<std::uint64_t> lost;
    for (const auto &[id, flight] : m_flights) {
        if (flight.attempt.server == worker.id && flight.isStarted) {
            lost.push_back(id);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const std::uint64_t id : lost) {
        carryOut(worker, worker.gate->handleRunEnded({requestName(id), m_flights.at(id).attempts}, {Decisions::RunEnd::EngineLost, {}, {}, 0}, m_now));
        at(m_now + hop, [this, id] { retry(id); });
    }
    at(m_now + engineOutage, [this, &worker] {
        worker.gate->setEngineIncarnation(worker.incarnation);
        carryOut(worker, worker.gate->setEngineUp(true, m_now));
    });
}

void Bench::arrive(Core::TimePoint last)
{
    const Request request = m_workload.next(last);
    if (request.arrival >= m_end) {
        return;
    }
    at(request.arrival, [this, request] {
        note(request, [&request](Figures &figures) { figures.noteArrival(request); });
        Flight &flight = m_flights[request.id];
        flight.request = request;
        flight.router = m_random() % m_options.routers;
        flight.attempt.query.version = modelVersion;
        flight.attempt.query.keys = request.keys;
        flight.attempt.query.root = request.root;
        flight.attempt.query.mark = m_policy->mark(flight.router, Workload::organisationName(request.organisation), m_now);
        probe(request.id);
        arrive(m_now);
    });
}

void Bench::probe(std::uint64_t id)
{
    const Flight &flight = m_flights.at(id);
    const Decisions::RouteDecision probed = m_policy->probes(flight.router, flight.attempt.query, m_now);
    if (probed.candidates.empty() || probed.isOverloaded) {
        dispatch(id, probed);
        return;
    }
    for (const Decisions::RouteCandidate &candidate : probed.candidates) {
        noteMessage(flight, flight.request.keys.size() * sizeof(Decisions::PrefixKey));
        noteMessage(flight, hintBytes);
        at(m_now + hop, [this, id, server = candidate.id] { answerProbe(id, server); });
    }
    at(m_now + 2 * hop + 1us, [this, id, probed] { dispatch(id, probed); });
}

void Bench::answerProbe(std::uint64_t id, BackendServerId server)
{
    const Flight &flight = m_flights.at(id);
    const Decisions::AdmissionGate &gate = *m_workers[m_indexes.at(server)].gate;
    const ProbeReply reply{gate.warmPieces(flight.request.keys, m_now), gate.load(m_now)};
    at(m_now + hop, [this, router = flight.router, query = flight.attempt.query, server, reply] { m_policy->noteProbe(router, server, query, reply, m_now); });
}

void Bench::dispatch(std::uint64_t id, const Decisions::RouteDecision &probed)
{
    Flight &flight = m_flights.at(id);
    const std::optional<BackendServerId> chosen = m_policy->choose(flight.router, flight.attempt.query, probed, m_now);
    if (!chosen.has_value() || flight.attempts == maximumAttempts) {
        note(flight.request, [](Figures &figures) { figures.noteNotRun(); });
        m_flights.erase(id);
        return;
    }
    ++flight.attempts;
    flight.isStarted = false;
    flight.attempt.server = *chosen;
    flight.attempt.work = m_policy->expectedWork(flight.router, *chosen, flight.attempt.query, m_now);
    m_policy->noteDispatched(flight.router, flight.attempt, m_now);
    noteMessage(flight, flight.request.keys.size() * sizeof(Decisions::PrefixKey));
    Worker &worker = m_workers[m_indexes.at(*chosen)];
    m_toLeaving += worker.gate->isLeaving() && m_now >= m_eventAt + leavingGrace ? 1 : 0;
    at(m_now + hop, [this, id, &worker] { deliver(id, worker); });
}

void Bench::retry(std::uint64_t id)
{
    Flight &flight = m_flights.at(id);
    flight.attempt.query.excluded.push_back(flight.attempt.server);
    probe(id);
}

void Bench::deliver(std::uint64_t id, Worker &worker)
{
    const Flight &flight = m_flights.at(id);
    const Request &request = flight.request;
    Decisions::GateRequest submitted;
    submitted.ref = {requestName(id), flight.attempts};
    submitted.flow = {Workload::organisationName(request.organisation), "team", ""};
    submitted.mark = flight.attempt.query.mark;
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
        noteMessage(flight, hintBytes);
        tellLoad(flight.router, worker);
        at(m_now + hop, [this, router = flight.router, attempt = flight.attempt, reply] { m_policy->noteReply(router, attempt, reply, m_now); });
    }
    carryOut(worker, actions);
}

void Bench::carryOut(Worker &worker, const std::vector<Decisions::GateAction> &actions)
{
    for (const Decisions::GateAction &action : actions) {
        if (const auto *started = std::get_if<Decisions::StartRun>(&action)) {
            start(worker, std::stoull(started->ref.request));
        } else if (const auto *refused = std::get_if<Decisions::Refuse>(&action)) {
            refuse(worker, *refused);
        }
    }
    scheduleTick(worker);
}

void Bench::start(Worker &worker, std::uint64_t id)
{
    Flight &flight = m_flights.at(id);
    flight.isStarted = true;
    worker.waiting.erase(id);
    const FakeRun run = worker.engine.start(flight.request, m_now);
    std::size_t wasted = 0;
    for (std::size_t piece = run.cachedPieces; piece < flight.request.keys.size(); ++piece) {
        wasted += m_computed.insert(flight.request.keys[piece]).second ? 0 : 1;
    }
    note(flight.request, [&](Figures &figures) { figures.noteRun(flight.request, run.cachedPieces, wasted); });
    sendCacheEvents(worker, flight, run);
    const std::uint64_t incarnation = worker.incarnation;
    at(run.firstToken, [this, &worker, id, run, incarnation] {
        if (worker.incarnation == incarnation) {
            noteFirstToken(worker, id, run);
        }
    });
    at(run.end, [this, &worker, id, incarnation] {
        if (worker.incarnation == incarnation) {
            noteEnd(worker, id);
        }
    });
}

void Bench::sendCacheEvents(Worker &worker, const Flight &flight, const FakeRun &run)
{
    const auto blockOf = [](Decisions::PrefixKey key) {
        return Decisions::BlockId(static_cast<std::uint64_t>(key));
    };
    Decisions::CacheEvent removed{worker.incarnation, ++worker.cacheEvents, Decisions::CacheEvent::Kind::Removed, {}, {}, 0};
    std::transform(run.evicted.begin(), run.evicted.end(), std::back_inserter(removed.blocks), blockOf);
    Decisions::CacheEvent stored{worker.incarnation, ++worker.cacheEvents, Decisions::CacheEvent::Kind::Stored, {}, {}, 0};
    stored.request = {requestName(flight.request.id), flight.attempts};
    stored.firstPiece = static_cast<std::uint32_t>(run.cachedPieces);
    const auto firstNew = flight.request.keys.begin() + static_cast<std::ptrdiff_t>(run.cachedPieces);
    std::transform(firstNew, flight.request.keys.end(), std::back_inserter(stored.blocks), blockOf);
    for (const Decisions::CacheEvent &event : {removed, stored}) {
        if (m_random() % cacheEventsToOneLost != 0) {
            at(run.firstToken + cacheEventDelay, [this, &worker, event] { worker.gate->handleCacheEvent(event, m_now); });
        }
    }
}

void Bench::noteFirstToken(Worker &worker, std::uint64_t id, const FakeRun &run)
{
    const Flight &flight = m_flights.at(id);
    note(flight.request, [&](Figures &figures) { figures.noteFirstToken(flight.request, m_now + hop); });
    const auto cachedTokens = static_cast<std::uint32_t>(run.cachedPieces) * Deployment::pieceTokens;
    carryOut(worker, worker.gate->handleFirstToken({requestName(id), flight.attempts}, cachedTokens, m_now));
    scheduleTick(worker);
}

void Bench::noteEnd(Worker &worker, std::uint64_t id)
{
    worker.engine.finish();
    const Flight flight = std::move(m_flights.at(id));
    m_flights.erase(id);
    note(flight.request, [&](Figures &figures) { figures.noteComplete(flight.request, m_now + hop); });
    noteMessage(flight, hintBytes);
    tellLoad(flight.router, worker);
    worker.gate->recordTokens({requestName(id), flight.attempts}, flight.request.answerTokens, m_now);
    const Decisions::RunOutcome outcome{Decisions::RunEnd::Complete, {}, {}, flight.request.answerTokens};
    carryOut(worker, worker.gate->handleRunEnded({requestName(id), flight.attempts}, outcome, m_now));
}

void Bench::refuse(Worker &worker, const Decisions::Refuse &action)
{
    const std::uint64_t id = std::stoull(action.ref.request);
    worker.waiting.erase(id);
    noteMessage(m_flights.at(id), hintBytes);
    tellLoad(m_flights.at(id).router, worker);
    const bool isUnavailable = action.reason == Decisions::GateRefusal::Leaving || action.reason == Decisions::GateRefusal::EngineDown;
    const Decisions::RouteRefusal refusal{action.retryAfter, {}, isUnavailable};
    const bool isFinal = action.reason == Decisions::GateRefusal::Overload;
    at(m_now + hop, [this, id, refusal, isFinal] {
        m_policy->noteRefusal(m_flights.at(id).router, m_flights.at(id).attempt, refusal, m_now);
        m_flights.at(id).attempts = isFinal ? maximumAttempts : m_flights.at(id).attempts;
        retry(id);
    });
}

void Bench::tellLoad(std::size_t router, Worker &worker)
{
    const bool isStale = m_options.scenario == "stale" && m_now >= m_eventAt;
    at(m_now + (isStale ? staleDelay : hop), [this, router, id = worker.id, load = worker.gate->load(m_now)] { m_policy->noteLoad(router, id, load, m_now); });
}

void Bench::scheduleTick(Worker &worker)
{
    const std::optional<Core::TimePoint> next = worker.gate->nextDeadline();
    if (!next.has_value() || (worker.tickAt > m_now && worker.tickAt <= *next)) {
        return;
    }
    worker.tickAt = std::max(*next, m_now + 1us);
    at(worker.tickAt, [this, &worker, when = worker.tickAt] {
        if (worker.tickAt == when) {
            carryOut(worker, worker.gate->tick(m_now));
        }
    });
}

void Bench::noteMessage(const Flight &flight, std::size_t bytes)
{
    note(flight.request, [bytes](Figures &figures) { figures.noteMessages(1, messageBytes + bytes); });
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
    note(now, [&](Figures &figures) { figures.noteQueues(mean, largest); });
    if (m_now < m_end) {
        at(m_now + 100ms, [this] { sampleQueues(); });
    }
}

} // namespace Verbena::PolicyBench
