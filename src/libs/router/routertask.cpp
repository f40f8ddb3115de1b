#include "routertask.h"

#include "answerformat.h"
#include "fleet.h"
#include "requestfailure.h"
#include "routerevents.h"
#include "wireconversion.h"

#include <core/textfile.h>
#include <eventloop/loop.h>
#include <observe/eventlog.h>
#include <wire/curvekeys.h>

#include <sodium.h>

namespace Verbena::Router {

namespace {

constexpr int okStatus = 200;
constexpr int notFoundStatus = 404;
constexpr int notAllowedStatus = 405;
constexpr int unavailableStatus = 503;
constexpr std::chrono::milliseconds shutdownCheckInterval{20};
constexpr std::chrono::seconds hotPrefixLifetime{2};

// A request that begins with less time than this before it would be given up is not expected to be whole.
constexpr std::chrono::milliseconds shortestRunTime{100};
constexpr std::string_view servicesPath = "/v1/services/";

std::uint64_t newIncarnation()
{
    std::uint64_t incarnation = 0;
    randombytes_buf(&incarnation, sizeof incarnation);
    return incarnation;
}

Decisions::RoutingOptions routingOptionsOf(const RouterSettings &settings, std::uint64_t seed)
{
    Decisions::RoutingOptions options;
    options.weights.recomputation = settings.recomputationWeight;
    options.seed = seed;
    return options;
}

Core::Result<std::string> readFile(const std::string &path)
{
    return Core::readTextFile(path, Core::maximumSettingsBytes, "router.file");
}

bool isPostPath(const std::string &path)
{
    return path == "/v1/completions" || path == "/v1/chat/completions" || path == "/explain" || path.starts_with(servicesPath);
}

} // namespace

Core::Result<std::unique_ptr<RouterTask>> RouterTask::create(EventLoop::Loop &loop, const RouterSettings &settings, const RouterServices &services)
{
    std::unique_ptr<RouterTask> task(new RouterTask(loop, settings, services));
    BOOST_OUTCOME_TRY(task->readKeys());
    task->applySettings();
    RouterTask *self = task.get();
    services.settings->setChangedCallback([self] { self->applySettings(); });
    BOOST_OUTCOME_TRY(task->listen());
    return task;
}

RouterTask::RouterTask(EventLoop::Loop &loop, const RouterSettings &settings, const RouterServices &services)
    : m_loop(loop)
    , m_settings(settings)
    , m_services(services)
    , m_incarnation(newIncarnation())
    , m_chooser(routingOptionsOf(settings, m_incarnation))
    , m_budget(settings.requests.retryFraction, settings.requests.retryCapacity, settings.requests.retryAtStart)
    , m_links(loop, m_context, settings.links, *this)
    , m_requestFactory(context(), m_settings)
    , m_removeFinished(loop, [this] { m_finished.clear(); })
    , m_shutdownTimer(loop, [this] { m_isListening ? stopListening() : finishShutdownIfIdle(); })
{
}

RouterTask::~RouterTask()
{
    m_services.settings->setChangedCallback(nullptr);
}

Core::Result<void> RouterTask::readKeys()
{
    if (m_settings.secretKeyFile.empty()) {
        return Core::success();
    }
    VERBENA_TRY(keys, Wire::CurveKeys::fromSecretKeyFile(m_settings.secretKeyFile));
    m_links.setOwnKeys(keys.publicKey, keys.secretKey);
    return Core::success();
}

Core::Result<void> RouterTask::listen()
{
    Http::HttpServerOptions options = m_settings.listen;
    if (!m_settings.certificateFile.empty()) {
        VERBENA_TRY(certificate, readFile(m_settings.certificateFile));
        VERBENA_TRY(privateKey, readFile(m_settings.privateKeyFile));
        options.certificatePem = certificate;
        options.privateKeyPem = privateKey;
    }
    VERBENA_TRY(opened, Http::HttpServer::create(m_loop, options, *this));
    m_server = std::move(opened);
    return Core::success();
}

RequestContext RouterTask::context()
{
    return {m_loop, m_settings, m_chooser, m_budget, m_overload, m_links, *m_services.claims, m_metrics, *this};
}

std::uint16_t RouterTask::port() const
{
    return m_server->port();
}

void RouterTask::applySettings()
{
    const std::shared_ptr<const Settings::InForceSettings> inForce = m_services.settings->current();
    updateFleet();
    m_links.setBackendServers(inForce->backendServers);
    m_requestFactory.setSettings(inForce);
    m_settingsAppliedAt = m_loop.now();
    m_settingsRevision = inForce->revision;
    Observe::log(settingsFollowed, {{"revision", std::to_string(inForce->revision)}});
}

void RouterTask::setLeavingHosts(std::set<std::string> names)
{
    m_leavingHosts = std::move(names);
    updateFleet();
}

void RouterTask::updateFleet()
{
    std::vector<Decisions::BackendServer> fleet = fleetOf(*m_services.settings->current());
    for (Decisions::BackendServer &server : fleet) {
        if (m_leavingHosts.contains(server.name)) {
            server.state = Decisions::BackendServerState::Leaving;
        }
    }
    m_chooser.setFleet(std::move(fleet));
}

bool RouterTask::isServing() const
{
    return m_isReady && m_settingsRevision > 0;
}

void RouterTask::handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    if (!m_isReady) {
        exchange->closeAfterAnswer();
    }
    if (isPostPath(exchange->path()) && m_settingsRevision == 0) {
        respondFailure(*exchange, {}, limitFailure(unavailableStatus, "starting", "The router has not learned the settings yet.", std::chrono::seconds(1)));
    } else if (isPostPath(exchange->path()) && m_loop.now() >= m_refusalTime) {
        respondFailure(*exchange, {}, shutdownFailure(Decisions::RunState::NotRun));
    } else if (isPostPath(exchange->path())) {
        handlePost(exchange);
    } else {
        handleGet(*exchange);
    }
}

void RouterTask::handlePost(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    if (exchange->method() != "POST") {
        respondFailure(*exchange, {}, invalidRequest(notAllowedStatus, "method_not_allowed", "This path takes POST only."));
    } else if (exchange->path() == "/v1/completions") {
        startTask(m_requestFactory.createCompletion(exchange, CallerInterface::Completions));
    } else if (exchange->path() == "/v1/chat/completions") {
        startTask(m_requestFactory.createCompletion(exchange, CallerInterface::ChatCompletions));
    } else if (exchange->path() == "/explain") {
        m_requestFactory.explain(*exchange);
    } else {
        startTask(m_requestFactory.createServiceCall(exchange));
    }
}

void RouterTask::handleGet(Http::HttpExchange &exchange)
{
    const std::string &path = exchange.path();
    if (path == "/healthz") {
        exchange.respond(okStatus, {{"Content-Type", "text/plain"}}, "ok\n");
    } else if (path == "/readyz") {
        exchange.respond(isServing() ? okStatus : unavailableStatus, {{"Content-Type", "text/plain"}}, isServing() ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        m_metrics.setGauge("requests_in_flight", static_cast<double>(m_tasks.size()));
        m_metrics.setGauge("agent_links", static_cast<double>(m_links.count()));
        m_metrics.setGauge("retry_budget", m_budget.available());
        exchange.respond(okStatus, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.renderPrometheus());
    } else if (path == "/status") {
        exchange.respond(okStatus, {{"Content-Type", "application/json"}}, statusJson(status()));
    } else if (path == "/v1/models") {
        m_requestFactory.listModels(exchange);
    } else {
        respondFailure(exchange, {}, invalidRequest(notFoundStatus, "not_found", "There is nothing at this path."));
    }
}

void RouterTask::startTask(const std::shared_ptr<RequestTask> &task)
{
    if (task != nullptr) {
        m_metrics.count("requests_total");
        m_tasks.emplace(task->id(), task);
        task->start();
    }
}

void RouterTask::receiveFromAgent(Decisions::BackendServerId id, const verbena::wire::Envelope &message)
{
    if (message.has_frame()) {
        if (RequestTask *task = find(message.frame().request())) {
            task->receiveFrame(message.frame());
        }
        return;
    }
    if (m_peerListener != nullptr) {
        m_peerListener->receiveFromPeer(id, message);
    }
    if (const verbena::wire::LoadHint *hint = loadHintOf(message)) {
        handleLoadHint(id, *hint);
    }
    if (message.has_admitted()) {
        if (RequestTask *task = find(message.admitted().request())) {
            task->receiveAdmitted(message.admitted());
        }
    } else if (message.has_refused()) {
        if (RequestTask *task = find(message.refused().request())) {
            task->receiveRefused(message.refused());
        }
    } else if (message.has_ended()) {
        if (RequestTask *task = find(message.ended().request())) {
            task->receiveEnded(message.ended());
        }
    }
}

void RouterTask::handleLoadHint(Decisions::BackendServerId id, const verbena::wire::LoadHint &hint)
{
    const Core::TimePoint now = m_loop.now();
    m_chooser.updateLoad(id, loadReportOf(hint), now);
    m_overload.update(id, hint.overload_level(), now);
    if (hint.heat_width() > 0) {
        m_chooser.setHomeCount(Decisions::PrefixKey(hint.heat_key()), hint.heat_width(), now + hotPrefixLifetime);
    }
}

void RouterTask::setPeerListener(PeerListener *listener)
{
    m_peerListener = listener;
}

void RouterTask::openPeer(const Decisions::BackendServer &server, const std::string &agentPublicKey)
{
    m_links.setAgentKey(server.id, agentPublicKey);
    // A connection that cannot be opened is tried again at the next check of the peers.
    static_cast<void>(m_links.open(server));
}

Core::Result<void> RouterTask::sendToPeer(Decisions::BackendServerId id, const verbena::wire::Envelope &message)
{
    AgentLink *link = m_links.find(id);
    if (link == nullptr) {
        return Core::Error{Core::ErrorCode::NotFound, "router.peer", "", "There is no connection to this agent."};
    }
    return link->sendBackground(message);
}

void RouterTask::agentReady(Decisions::BackendServerId id)
{
    if (m_peerListener != nullptr) {
        m_peerListener->peerReady(id);
    }
    for (const std::shared_ptr<RequestTask> &task : runningTasks()) {
        task->handleAgentReady(id);
    }
}

void RouterTask::agentLost(Decisions::BackendServerId id)
{
    m_metrics.count("agents_lost_total");
    if (m_peerListener != nullptr) {
        m_peerListener->peerLost(id);
    }
    for (const std::shared_ptr<RequestTask> &task : runningTasks()) {
        task->handleAgentLost(id);
    }
}

void RouterTask::requestFinished(const std::string &id)
{
    const auto found = m_tasks.find(id);
    if (found != m_tasks.end()) {
        m_finished.push_back(std::move(found->second));
        m_tasks.erase(found);
        m_removeFinished.schedule();
    }
}

RequestTask *RouterTask::find(const std::string &id)
{
    const auto found = m_tasks.find(id);
    return found == m_tasks.end() ? nullptr : found->second.get();
}

// Returns a copy, as tasks can finish and new ones start while the tasks are notified.
std::vector<std::shared_ptr<RequestTask>> RouterTask::runningTasks() const
{
    std::vector<std::shared_ptr<RequestTask>> tasks;
    tasks.reserve(m_tasks.size());
    for (const auto &[id, task] : m_tasks) {
        tasks.push_back(task);
    }
    return tasks;
}

RouterStatus RouterTask::status() const
{
    RouterStatus status;
    status.name = m_settings.name;
    status.incarnation = m_incarnation;
    status.isReady = isServing();
    status.settingsRevision = m_settingsRevision;
    status.settingsAge = std::chrono::duration_cast<std::chrono::microseconds>(m_loop.now() - m_settingsAppliedAt);
    status.settingsJson = m_peerListener == nullptr ? std::string() : m_peerListener->settingsJson();
    status.inFlight = m_tasks.size();
    status.agentLinks = m_links.count();
    status.agentsDown = m_links.unreachable().size();
    status.connections = m_server->connectionCount();
    return status;
}

void RouterTask::beginShutdown(std::function<void()> done)
{
    if (!m_isReady) {
        return;
    }
    m_isReady = false;
    m_shutdownDone = std::move(done);
    Observe::log(shutdownBegun, {{"in_flight", std::to_string(m_tasks.size())}});
    const Core::TimePoint now = m_loop.now();
    m_shutdownEnd = now + m_settings.shutdownGrace;
    m_giveUpTime = m_shutdownEnd - lastAnswersTime;
    m_refusalTime = m_giveUpTime - shortestRunTime;
    m_shutdownTimer.startAt(std::min(now + m_settings.shutdownNotice, m_giveUpTime));
}

void RouterTask::stopListening()
{
    m_isListening = false;
    m_server->stopListening();
    Observe::log(listenerClosed, {{"in_flight", std::to_string(m_tasks.size())}});
    m_shutdownTimer.startAt(m_loop.now() + shutdownCheckInterval);
}

void RouterTask::giveUpRequests()
{
    for (const std::shared_ptr<RequestTask> &task : runningTasks()) {
        task->giveUp();
    }
}

void RouterTask::finishShutdownIfIdle()
{
    m_server->readArrived();
    const Core::TimePoint now = m_loop.now();
    if (now >= m_giveUpTime) {
        giveUpRequests();
    }
    if (m_server->openExchangeCount() > 0 && now < m_shutdownEnd) {
        m_shutdownTimer.startAt(m_loop.now() + shutdownCheckInterval);
        return;
    }
    m_shutdownDone();
}

} // namespace Verbena::Router
