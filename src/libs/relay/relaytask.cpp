#include "relaytask.h"

#include "relayevents.h"
#include "requestadmission.h"

#include <decisions/relay/registerpollinterval.h>
#include <eventloop/loop.h>
#include <observe/eventlog.h>
#include <observe/fieldvalue.h>

#include <algorithm>

namespace Verbena::Relay {

namespace {

// Interval at which activity is recorded even without callers, so that a stall of the process is detected.
constexpr std::chrono::milliseconds activityInterval{100};

// By then, a process that gets requests has earned several resends.
constexpr std::chrono::seconds budgetFillTime{3};

// Interval at which a list of routers with as many entries as before is compared in full; agents report it many times per second.
constexpr std::chrono::milliseconds routersUpdateInterval{1000};

// Average number of routers that tell all agents of new weights at once, or write the time of the announcement to the store: enough that some do even if a
// third of them are lost. If all did, each agent of a large fleet would get thousands of messages at once.
constexpr std::uint32_t expectedChosenRouters = 8;

// Callers that still read come after those that are idle, and among them those first that have read nothing for longest.
bool isClosedBefore(const CallerConnection *left, const CallerConnection *right)
{
    if (left->isDelivering() != right->isDelivering()) {
        return right->isDelivering();
    }
    return left->isDelivering() ? left->lastReadAt() < right->lastReadAt() : left->idleSince() < right->idleSince();
}

// Controls take themselves away when the process ends.
CloseReason reasonOfControl(const void *control)
{
    return control == nullptr ? CloseReason::ProcessEnd : CloseReason::ControlsReplaced;
}

} // namespace

Core::Result<std::unique_ptr<RelayTask>> RelayTask::create(EventLoop::Loop &loop, const RelaySettings &settings, const RelayProtocol &protocol)
{
    std::unique_ptr<RelayTask> task(new RelayTask(loop, settings, protocol));
    auto listener = Http::TcpListener::bind(loop, settings.listen, [raw = task.get()](int descriptor) { raw->acceptCaller(descriptor); });
    if (!listener) {
        return listener.error();
    }
    task->m_listener = std::move(listener.value());
    task->m_settings.listen = task->m_listener->endpoint();
    return task;
}

Core::Result<void> RelayTask::listen()
{
    return m_listener->listen();
}

RelayTask::RelayTask(EventLoop::Loop &loop, const RelaySettings &settings, const RelayProtocol &protocol)
    : m_loop(loop)
    , m_settings(settings)
    , m_protocol(protocol)
    , m_fleet(settings.routing, settings.weights)
    , m_budget(settings.resend, settings.routerCount, loop.now())
    , m_shedder(settings.priorityGap)
    , m_resendQueue(loop, m_budget, loop.now() + budgetFillTime)
    , m_activeRouters(settings.routerCount)
    , m_random(settings.seed)
    , m_memory(settings.memoryBytes, m_metrics)
    , m_bodies(loop, m_memory.budget(), m_metrics)
    , m_intake(settings.descriptors, settings.seed, loop.now(), m_metrics)
    , m_connectionLimit(settings.descriptors)
    , m_context{m_loop, m_protocol, m_fleet, m_budget, m_shedder, m_resendQueue, m_random, m_metrics, settings.configurationTime}
    , m_stallDetector(loop.now())
    , m_activityTimer(loop, [this] { handleActivityTimer(); })
    , m_activityDue(loop.now() + activityInterval)
    , m_forgetActivity(loop, [this] { m_handledActivityDue.reset(); })
    , m_resume(loop, [this] { resumeAccepting(); })
    , m_shutdown(loop, m_metrics, m_fleet.runTimes(), *this)
{
    m_activityTimer.startAt(m_activityDue);
    m_fleet.setAnnouncementObserver([this] { handleNewWeights(); });
    m_fleet.limits().setAssumedRouters(settings.routerCount);
    m_context.memory = &m_memory.budget();
    m_context.shutdown = &m_shutdown;
    if (settings.keepsConnections) {
        m_serverConnections = std::make_unique<ServerConnections>(loop, m_fleet.servers(), m_metrics);
        m_context.connections = m_serverConnections.get();
    }
}

RelayTask::~RelayTask()
{
    abandonConnections(CloseReason::ProcessEnd);
}

bool RelayTask::setConfiguration(Decisions::RelayConfiguration configuration)
{
    if (m_directory != nullptr && configuration.version <= m_directory->version()) {
        return false;
    }
    const std::uint64_t before = configurationVersion();
    const bool wasReady = isReady();
    m_directory = std::make_shared<const Decisions::RelayDirectory>(std::move(configuration));
    Observe::log(configurationTaken, {{"version", std::to_string(m_directory->version())}, {"before", std::to_string(before)}});
    if (!wasReady) {
        Observe::log(readinessChanged, {{"ready", Observe::yesOrNo(isReady())}, {"reason", "configuration known"}});
    }
    return true;
}

Decisions::RelayFleet &RelayTask::fleet()
{
    return m_fleet;
}

void RelayTask::recordRouters(const std::vector<std::string> &addresses)
{
    const Core::TimePoint now = m_loop.now();
    for (const std::string &address : addresses) {
        m_activeRouters.record(address, now);
    }
    const std::uint32_t before = m_routerCount;
    m_routerCount = m_activeRouters.count(now);
    if (m_routerCount != before) {
        Observe::log(routersCounted, {{"routers", std::to_string(m_routerCount)}, {"before", std::to_string(before)}});
        m_metrics.setGauge("routers_known", m_routerCount);
    }
    if (m_routerCount != before || now >= m_routersUpdateTime) {
        m_fleet.limits().setRouters(m_settings.address, m_activeRouters.addresses());
        m_routersUpdateTime = now + routersUpdateInterval;
    }
    m_budget.setRouterCount(std::max(m_settings.routerCount, m_routerCount));
    m_fleet.setRouterCount(m_routerCount);
}

void RelayTask::recordActivity()
{
    const Core::TimePoint now = m_loop.now();
    const std::optional<std::chrono::milliseconds> stall = m_stallDetector.recordActivity(now);
    if (stall.has_value()) {
        m_budget.handleStall(now);
        Observe::log(routerStoodStill, {{"for_ms", std::to_string(stall->count())}});
    }
}

void RelayTask::handleActivityTimer()
{
    const Core::TimePoint now = m_loop.now();
    recordActivity();
    relieveMemory();
    failOverSilentEngines();
    m_bodies.handleRoom();
    m_intake.record(m_activityDue, now, m_memory.budget().isShort());
    m_metrics.recordDuration("loop_late_seconds", {}, std::chrono::duration_cast<std::chrono::microseconds>(now - m_activityDue));
    if (m_listener != nullptr) {
        m_metrics.setGauge("accepts_failed", static_cast<double>(m_listener->failedAcceptCount()));
    }
    m_handledActivityDue = m_activityDue;
    m_forgetActivity.schedule();
    m_activityDue = now + activityInterval;
    m_activityTimer.startAt(m_activityDue);
}

MemoryGuard &RelayTask::memory()
{
    return m_memory;
}

BodyAdmission &RelayTask::bodies()
{
    return m_bodies;
}

Core::TimePoint RelayTask::latestBodyStart(const Http::MessageHead &head) const
{
    const Core::TimePoint now = m_loop.now();
    const RequestAdmission admission = admitRequest(m_protocol, m_directory.get(), head, now);
    if (admission.refusal.has_value()) {
        return now;
    }
    const Core::TimePoint routeDeadline = now + admission.route->timeout;
    const Core::TimePoint deadline = std::min(admission.query.deadline.value_or(routeDeadline), routeDeadline);
    return std::min(Decisions::latestBodyStart(now, deadline, admission.route->isRepeatable()), m_shutdown.latestStart());
}

// The kernel is asked only where the open calls are so many that what it holds for them and their callers is no small part of the memory.
void RelayTask::updateUnreadBytes()
{
    const Decisions::MemoryBudget &budget = m_memory.budget();
    const bool isAnyCounted = budget.held(Decisions::HeldKind::UnreadInKernel) > 0;
    if (!isAnyCounted && !budget.couldBeShort(BackendCall::openCount() * 2 * Http::receiveMemoryBytes)) {
        return;
    }
    for (const auto &[connection, owned] : m_connections) {
        if (connection->mayHaveUnreadBytes()) {
            connection->updateUnreadBytes();
        }
    }
}

void RelayTask::relieveMemory()
{
    updateUnreadBytes();
    const bool isExceeded = m_memory.check();
    if (!m_memory.budget().isShort()) {
        return;
    }
    std::vector<CallerConnection *> connections;
    for (const auto &[connection, owned] : m_connections) {
        connection->updateKernelBytes();
        if (connection->hasUntakenBytes()) {
            connection->updateLastRead();
            connections.push_back(connection);
        }
    }
    if (!isExceeded) {
        return;
    }
    for (CallerConnection *connection : m_memory.connectionsToCut(connections, m_loop.now())) {
        connection->cutOff();
    }
    giveUpAnswers();
}

// Whatever has no end must not take the process with it; those that hold most are the fewest to give up.
void RelayTask::giveUpAnswers()
{
    std::vector<RelayedRequest *> requests;
    for (const auto &[connection, owned] : m_connections) {
        if (connection->request() != nullptr) {
            requests.push_back(connection->request());
        }
    }
    for (RelayedRequest *request : m_memory.answersToGiveUp(requests)) {
        request->giveUpAnswer();
    }
}

// The budget may not suffice for all, so the callers that have the least time left come first.
void RelayTask::failOverSilentEngines()
{
    const std::size_t silent = m_fleet.silentCount(m_loop.now());
    m_metrics.setGauge("engines_silent", static_cast<double>(silent));
    if (silent == 0) {
        return;
    }
    std::vector<RelayedRequest *> waiting;
    for (const auto &[raw, connection] : m_connections) {
        RelayedRequest *request = connection->request();
        if (request != nullptr && request->isAtSilentEngine()) {
            waiting.push_back(request);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const RelayedRequest *left, const RelayedRequest *right) { return left->deadline() < right->deadline(); });
    for (RelayedRequest *request : waiting) {
        request->failOver();
    }
}

bool RelayTask::isRandomlyChosen()
{
    return m_random.next() % m_routerCount < expectedChosenRouters;
}

void RelayTask::handleNewWeights()
{
    for (const auto &[raw, connection] : m_connections) {
        if (RelayedRequest *request = connection->request()) {
            request->updateCallBackTimer();
        }
    }
}

void RelayTask::announceWeights()
{
    if (m_weightsObserver && isRandomlyChosen()) {
        m_weightsObserver();
    }
}

void RelayTask::setWeightsObserver(std::function<void()> observer)
{
    m_weightsObserver = std::move(observer);
}

std::uint32_t RelayTask::routerCount() const
{
    return m_routerCount;
}

std::uint32_t RelayTask::knownRouterCount() const
{
    return m_activeRouters.hasRouters() ? m_routerCount : 0;
}

void RelayTask::setUsageControl(UsageControl *control)
{
    abandonConnections(reasonOfControl(control));
    m_context.usage = control;
}

void RelayTask::setCrashControl(CrashControl *control)
{
    abandonConnections(reasonOfControl(control));
    m_context.crashes = control;
}

void RelayTask::setStreamOriginControl(StreamOriginControl *control)
{
    abandonConnections(reasonOfControl(control));
    m_context.origins = control;
}

std::chrono::milliseconds RelayTask::configurationTime() const
{
    return m_settings.configurationTime;
}

std::vector<std::string> RelayTask::routerAddresses() const
{
    return m_activeRouters.addresses();
}

std::vector<std::string> RelayTask::electedRouters() const
{
    return m_routerCount > Decisions::electedRouterCount ? m_activeRouters.elected(Decisions::electedRouterCount) : std::vector<std::string>();
}

bool RelayTask::isElected() const
{
    const std::vector<std::string> elected = electedRouters();
    return std::find(elected.begin(), elected.end(), m_settings.address) != elected.end();
}

std::chrono::milliseconds RelayTask::registerPause() const
{
    // The other routers get changes later by the poll interval of the elected ones, so that interval is short.
    return Decisions::registerPollInterval(isElected() ? 2 * Decisions::electedRouterCount : m_routerCount);
}

bool RelayTask::hasResumableStreams(const std::string &service) const
{
    return m_directory != nullptr && m_directory->hasResumableStreams(service);
}

std::chrono::milliseconds RelayTask::longestStream() const
{
    return m_directory == nullptr ? std::chrono::milliseconds(0) : m_directory->longestStream();
}

std::string RelayTask::healthPath(const std::string &service) const
{
    return m_directory == nullptr ? "" : m_directory->healthPath(service);
}

const ServerConnections *RelayTask::serverConnections() const
{
    return m_serverConnections.get();
}

Observe::Metrics &RelayTask::metrics()
{
    return m_metrics;
}

void RelayTask::setConfigurationAge(std::function<std::optional<std::chrono::milliseconds>()> age)
{
    m_context.configurationAge = std::move(age);
}

bool RelayTask::isReady() const
{
    return m_directory != nullptr && !m_shutdown.isBegun() && m_fleet.hasServers() && m_intake.wantsCallers();
}

Http::Endpoint RelayTask::endpoint() const
{
    return m_settings.listen;
}

std::uint64_t RelayTask::configurationVersion() const
{
    return m_directory == nullptr ? 0 : m_directory->version();
}

std::vector<Decisions::RelayService> RelayTask::cacheStores() const
{
    std::vector<Decisions::RelayService> stores;
    if (m_directory != nullptr) {
        for (const Decisions::RelayService *store : m_directory->cacheStores()) {
            stores.push_back(*store);
        }
    }
    return stores;
}

void RelayTask::acceptCaller(int descriptor)
{
    ++m_acceptedCount;
    m_shutdown.endNoticeIfDue();
    closeIdleConnections(m_connectionLimit.excess(Http::TcpChannel::openCount() + 1));
    const bool isAdmitted = m_connectionLimit.admits(Http::TcpChannel::openCount());
    auto connection = std::make_unique<CallerConnection>(m_loop, descriptor, *this);
    CallerConnection *raw = connection.get();
    m_connections.emplace(raw, std::move(connection));
    if (isAdmitted) {
        return;
    }
    m_metrics.count("connections_refused_for_descriptors_total");
    raw->refuseNextRequest();
    if (!m_connectionLimit.admitsRefusal(Http::TcpChannel::openCount())) {
        m_metrics.count("accept_pauses_for_descriptors_total");
        m_listener->pause();
    }
}

void RelayTask::resumeAccepting()
{
    if (m_listener == nullptr || !m_listener->isPaused()) {
        return;
    }
    closeIdleConnections(m_connectionLimit.excess(Http::TcpChannel::openCount() + 1));
    if (m_connectionLimit.admitsRefusal(Http::TcpChannel::openCount())) {
        m_listener->resume();
    }
}

// A caller whose connection is closed while it is idle opens another one for its next request.
void RelayTask::closeIdleConnections(std::size_t count)
{
    if (count == 0) {
        return;
    }
    std::vector<CallerConnection *> idle;
    for (const auto &[connection, owned] : m_connections) {
        if (connection->mayMakeRoom()) {
            idle.push_back(connection);
        }
    }
    const auto last = idle.begin() + static_cast<std::ptrdiff_t>(std::min(count, idle.size()));
    std::partial_sort(idle.begin(), last, idle.end(), isClosedBefore);
    const auto closed = std::count_if(idle.begin(), last, [](CallerConnection *connection) { return connection->makeRoom(); });
    m_metrics.count("idle_connections_closed_for_descriptors_total", static_cast<std::uint64_t>(closed));
}

// A copy, as ending a connection removes it from m_connections.
std::vector<CallerConnection *> RelayTask::connectionSnapshot() const
{
    std::vector<CallerConnection *> connections;
    connections.reserve(m_connections.size());
    for (const auto &[connection, owned] : m_connections) {
        connections.push_back(connection);
    }
    return connections;
}

std::size_t RelayTask::connectionCount() const
{
    return m_connections.size();
}

std::uint64_t RelayTask::acceptedCount() const
{
    return m_acceptedCount;
}

bool RelayTask::acceptWaiting()
{
    return m_listener->acceptWaiting();
}

void RelayTask::closeListener()
{
    m_listener.reset();
}

void RelayTask::connectionEnded(CallerConnection *connection, CloseReason reason)
{
    reportClose(connection->closeReport(reason), m_metrics);
    m_connections.erase(connection);
    m_resume.schedule();
}

std::unique_ptr<RelayedRequest> RelayTask::beginRequest(Http::MessageHead head, Http::SharedBody body, AnswerSink &sink)
{
    recordActivity();
    m_shutdown.endNoticeIfDue();
    return std::make_unique<RelayedRequest>(m_context, servedDirectory(), std::move(head), std::move(body), sink);
}

bool RelayTask::isRefused(const Http::MessageHead &head) const
{
    return admitRequest(m_protocol, servedDirectory().get(), head, m_loop.now()).refusal.has_value();
}

std::shared_ptr<const Decisions::RelayDirectory> RelayTask::servedDirectory() const
{
    return m_shutdown.isServingRequests() ? m_directory : nullptr;
}

Decisions::RelayLimits RelayTask::limits() const
{
    return m_directory == nullptr ? Decisions::RelayLimits() : m_directory->limits();
}

bool RelayTask::isDraining() const
{
    return m_shutdown.isBegun() || m_connectionLimit.isCrowded(Http::TcpChannel::openCount());
}

std::vector<Http::HttpField> RelayTask::refusalFields(const Refusal &refusal, const Http::MessageHead &head) const
{
    const auto query = m_protocol.readQuery(head, m_loop.now());
    return m_protocol.refusalFields(refusal, query ? query.value().attemptId : "");
}

void RelayTask::reportTooLong(std::string_view bound, int status)
{
    m_metrics.count("requests_too_long_total");
    m_metrics.count("requests_too_long_" + std::string(bound) + "_total");
    Observe::log(requestTooLong, {{"bound", std::string(bound)}, {"status", std::to_string(status)}});
}

// A process that stood still does not know how long ago it was asked to end. It was asked after the time at which its event loop should have come next, which
// the timer may have replaced in this iteration of the loop. A timer of a busy process may wait for several iterations, in each of which it would have noticed.
void RelayTask::beginShutdown(std::function<void()> done)
{
    const Core::TimePoint now = m_loop.now();
    const Core::TimePoint loopDue = m_handledActivityDue.value_or(m_activityDue);
    const Core::TimePoint asked = std::min(now, std::max(loopDue, m_loop.previousWaitBegin()));
    m_shutdown.begin(Decisions::ShutdownPlan(now, asked, m_settings.shutdownNotice, m_settings.shutdownGrace), std::move(done));
}

// Requests hold the controls that they began with, and tell them of their end.
void RelayTask::abandonConnections(CloseReason reason)
{
    for (const auto &[raw, connection] : m_connections) {
        reportClose(connection->closeReport(reason), m_metrics);
        connection->markIncomplete();
    }
    m_connections.clear();
}

} // namespace Verbena::Relay
