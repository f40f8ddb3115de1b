#include "soakworld.h"

#include "oddentry.h"
#include "soakroutes.h"
#include "streamtext.h"

#include <csignal>

#include <sys/resource.h>
#include <unistd.h>

namespace Verbena::Soak {

namespace {

// Many more names than backend servers would make tables long.
constexpr std::size_t maximumOddEntries = 8;

// Agents don't talk to each other; routers of one group do so without a link.
constexpr std::size_t agentGroup = 0;

std::size_t routerGroup(std::size_t index)
{
    return 1 + index % (DatagramLinks::groups - 1);
}

constexpr const char *callersPort = "8782";
constexpr const char *readinessPort = "8789";
constexpr std::size_t firstWorkerHost = 100;

// Share of starts with a soft limit of descriptors far below the hard one, and of those whose host file is not whole at first.
constexpr double smallLimitShare = 0.3;
constexpr double incompleteFileShare = 0.2;
constexpr rlim_t smallLimit = 96;

// Share of starts that are followed by a SIGHUP in the first milliseconds, as a platform sends that changes a file of settings.
constexpr double earlyHangUpShare = 0.3;
constexpr double latestEarlyHangUp = 20;

// Drawn for each run.
constexpr std::uint64_t routerLimits[] = {110, 110, 64, 48};
constexpr std::uint64_t agentMegabytes = 192;

// Drawn for each run.
constexpr std::chrono::seconds graces[] = {std::chrono::seconds(2), std::chrono::seconds(4), std::chrono::seconds(8), std::chrono::seconds(8)};

std::string oddName(std::size_t number)
{
    return "odd-" + std::to_string(number);
}

} // namespace

SoakWorld::SoakWorld(std::uint64_t seed, const WorldSize &size)
    : m_loop(std::move(EventLoop::Loop::create().value()))
    , m_random(seed)
    , m_ledger([this] { return m_loop->now(); })
    , m_store(*m_loop)
    , m_links(*m_loop, m_random)
    , m_size(size)
    , m_grace(graces[m_random.next() % std::size(graces)])
    , m_routerMegabytes(routerLimits[m_random.next() % std::size(routerLimits)])
    , m_softwareVersions(1 + m_random.next() % softwareVersions().size())
{
    writeConfiguration();
    m_workers.resize(size.engines + size.services + size.slowServices);
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        Worker &worker = m_workers[index];
        worker.ip = ip(firstWorkerHost + index);
        const std::string &software = softwareVersions()[index % m_softwareVersions];
        worker.server
            = std::make_unique<SoakWorker>(*m_loop, worker.ip, WorkerTerms{"w" + std::to_string(index), index < m_size.engines, software}, m_ledger, m_random);
        worker.server->setCrashObserver([this, index] { m_crashing.insert(index); });
        worker.proxy = std::make_unique<FaultyProxy>(*m_loop, worker.ip + ":0", worker.server->address(), m_random);
        registerWorker(index);
        if (index < m_size.engines) {
            m_links.add(worker.ip, agentGroup);
            startAgent(index);
        }
    }
    m_routers.resize(size.routers);
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        m_routers[index].ip = ip(1 + index);
        openWays(index);
        startRouter(index);
    }
}

SoakWorld::~SoakWorld() = default;

// Processes of soaks that run at the same time differ in these two numbers.
std::string SoakWorld::ip(std::size_t number) const
{
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + '.' + std::to_string(1 + pid % 250) + '.' + std::to_string(number);
}

std::unique_ptr<SupervisedProcess> SoakWorld::start(const std::string &program, const HostSettings &settings)
{
    ProcessTerms terms{program,
        settings.name,
        m_files.write(settings, m_random.uniform() < incompleteFileShare),
        std::nullopt,
        settings.grace,
        settings.memoryMegabytes << 20U};
    rlimit system{};
    if (m_random.uniform() < smallLimitShare && getrlimit(RLIMIT_NOFILE, &system) == 0) {
        terms.descriptors = rlimit{smallLimit, system.rlim_max};
    }
    auto process = std::make_unique<SupervisedProcess>(*m_loop, m_ledger, std::move(terms));
    if (m_random.uniform() < earlyHangUpShare) {
        process->hangUpEarly(std::chrono::milliseconds(static_cast<int>(m_random.uniform() * latestEarlyHangUp)));
    }
    return process;
}

void SoakWorld::openWays(std::size_t index)
{
    Router &router = m_routers[index];
    router.store = std::make_unique<FaultyProxy>(*m_loop, "127.0.0.1:0", m_store.address(), m_random);
    router.link = std::make_unique<FaultyProxy>(*m_loop, "127.0.0.1:0", router.ip + ':' + callersPort, m_random);
    m_links.add(router.ip, routerGroup(index));
    const std::string target = router.ip + ':' + std::to_string(DatagramLinks::firstPort(routerGroup(index)));
    for (std::size_t group = 0; group < DatagramLinks::groups; ++group) {
        if (group != routerGroup(index)) {
            const std::string address = router.ip + ':' + std::to_string(DatagramLinks::firstPort(group));
            router.peers.push_back(std::make_unique<FaultyProxy>(*m_loop, address, target, m_random));
        }
    }
}

void SoakWorld::startRouter(std::size_t index)
{
    Router &router = m_routers[index];
    const std::string more = "listen:\n  front: \"" + router.ip + ':' + callersPort + "\"\n  ready: \"" + router.ip + ':' + readinessPort + "\"\n";
    router.process = start("verbena-router",
        {"front-" + std::to_string(index), router.ip, router.store->address(), m_grace, DatagramLinks::firstPort(routerGroup(index)), m_routerMegabytes, more});
    router.isRestarted = true;
}

void SoakWorld::startAgent(std::size_t index)
{
    Worker &worker = m_workers[index];
    const std::string more = "app: \"" + worker.proxy->address() + "\"\nservice: \"reader\"\n";
    worker.agent = start(
        "verbena-agent", {"side-" + std::to_string(index), worker.ip, m_store.address(), m_grace, DatagramLinks::firstPort(agentGroup), agentMegabytes, more});
}

std::string SoakWorld::service(std::size_t index) const
{
    if (index < m_size.engines) {
        return "reader";
    }
    return index < m_size.engines + m_size.services ? "register" : "press";
}

nlohmann::json SoakWorld::workerRow(std::size_t index) const
{
    const SoakWorker &server = *m_workers[index].server;
    return serverRow(service(index), m_workers[index].proxy->address(), server.terms().software, server.terms().isEngine ? server.version() : 0);
}

void SoakWorld::registerWorker(std::size_t index)
{
    m_store.put("servers", m_workers[index].server->id(), workerRow(index));
}

void SoakWorld::nameModelsTwice(std::size_t index)
{
    m_store.put("servers", m_workers[index].server->id(), withModelsTwice(workerRow(index)));
}

void SoakWorld::writeOddEntry(std::size_t index)
{
    m_store.put("servers", oddName(m_random.next() % maximumOddEntries), oddEntry(workerRow(index), m_random));
}

void SoakWorld::writeConfiguration()
{
    m_store.put("op", "config", configurationRow(m_configuration, newestPath()));
}

std::string SoakWorld::newestPath() const
{
    return "/v" + std::to_string(m_configuration) + '/';
}

void SoakWorld::changeConfiguration()
{
    ++m_configuration;
    writeConfiguration();
}

void SoakWorld::nameWeights()
{
    ++m_weights;
    m_store.put("op", "version/m", {{"model", "m"}, {"version", m_weights}});
}

std::uint64_t SoakWorld::newestWeights() const
{
    return m_weights;
}

bool SoakWorld::hasNewestWeightsEverywhere() const
{
    for (std::size_t index = 0; index < m_size.engines; ++index) {
        if (m_workers[index].server->version() < m_weights) {
            return false;
        }
    }
    return true;
}

void SoakWorld::signalRouter(std::size_t index, int signalNumber)
{
    Router &router = m_routers[index];
    if (signalNumber == SIGKILL) {
        router.lastKill = m_loop->now();
    }
    if (signalNumber == SIGTERM && !router.process->terminatedAt().has_value()) {
        router.stops.push_back({m_loop->now(), m_grace, router.process->startedAt()});
    }
    if (router.predecessor != nullptr) {
        router.predecessor->signal(signalNumber);
    }
    router.process->signal(signalNumber);
}

Core::TimePoint SoakWorld::routerStart(std::size_t index) const
{
    return m_routers[index].process->startedAt();
}

Core::TimePoint SoakWorld::agentStart(std::size_t index) const
{
    return m_workers[index % m_size.engines].agent->startedAt();
}

void SoakWorld::signalAgent(std::size_t index, int signalNumber)
{
    m_workers[index % m_size.engines].agent->signal(signalNumber);
}

RouterPast SoakWorld::pastSince(std::size_t index, const std::string &path, Core::TimePoint time) const
{
    const Router &router = m_routers[index];
    const bool isDisturbed = m_disturbances.isAnySince(time, isStream(path));
    return {router.process->terms().name, router.lastKill >= time, isDisturbed, router.stops};
}

Disturbances &SoakWorld::disturbances()
{
    return m_disturbances;
}

void SoakWorld::setWorkTime(std::chrono::milliseconds time)
{
    for (Worker &worker : m_workers) {
        worker.server->setWorkTime(time);
    }
}

void SoakWorld::replaceRouter(std::size_t index)
{
    Router &router = m_routers[index];
    if (router.predecessor != nullptr) {
        return;
    }
    signalRouter(index, SIGCONT);
    signalRouter(index, SIGTERM);
    router.predecessor = std::move(router.process);
    startRouter(index);
}

void SoakWorld::closeRouterLog(std::size_t index)
{
    m_routers[index].process->closeOutput();
}

void SoakWorld::closeAgentLog(std::size_t index)
{
    m_workers[index % m_size.engines].agent->closeOutput();
}

void SoakWorld::restartEnded()
{
    m_files.complete();
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        Router &router = m_routers[index];
        (void)reapIfEnded(router.predecessor, router.lastKill);
        if (reapIfEnded(router.process, router.lastKill)) {
            startRouter(index);
        }
    }
    for (std::size_t index = 0; index < m_size.engines; ++index) {
        Core::TimePoint killedAt;
        if (reapIfEnded(m_workers[index].agent, killedAt)) {
            startAgent(index);
        }
        m_disturbances.note(killedAt);
    }
}

// Returns whether the process has ended; killedAt becomes the time of its SIGKILL, if it got one.
bool SoakWorld::reapIfEnded(std::unique_ptr<SupervisedProcess> &process, Core::TimePoint &killedAt)
{
    if (process == nullptr) {
        return false;
    }
    const bool hasEnded = process->check();
    killedAt = std::max(killedAt, process->killedAt().value_or(killedAt));
    if (hasEnded) {
        m_logs.collect(process.get());
        process.reset();
    }
    return hasEnded;
}

void SoakWorld::endCrashing()
{
    for (const std::size_t index : std::exchange(m_crashing, {})) {
        crashWorker(index);
    }
}

void SoakWorld::collectLogs()
{
    for (Router &router : m_routers) {
        m_logs.collect(router.predecessor.get());
        m_logs.collect(router.process.get());
    }
    for (Worker &worker : m_workers) {
        m_logs.collect(worker.agent.get());
    }
}

void SoakWorld::writeLogs(const std::string &folder) const
{
    m_logs.write(folder);
}

std::vector<std::string> SoakWorld::logLinesOf(const std::string &id, std::size_t most) const
{
    return m_logs.linesOf(id, most);
}

bool SoakWorld::takeRestart(std::size_t index)
{
    const bool isRestarted = m_routers[index].isRestarted;
    m_routers[index].isRestarted = false;
    return isRestarted;
}

void SoakWorld::crashWorker(std::size_t index)
{
    const std::string before = worker(index).id();
    worker(index).crash();
    m_store.remove("servers", before);
    registerWorker(index % m_workers.size());
}

SoakWorker &SoakWorld::worker(std::size_t index)
{
    return *m_workers[index % m_workers.size()].server;
}

FaultyProxy &SoakWorld::workerProxy(std::size_t index)
{
    return *m_workers[index % m_workers.size()].proxy;
}

FaultyProxy &SoakWorld::storeProxy(std::size_t index)
{
    return *m_routers[index % m_routers.size()].store;
}

void SoakWorld::setLinkMode(std::size_t index, FaultyProxy::Mode mode, Core::TimePoint end)
{
    m_routers[index].linkEnd = std::max(m_routers[index].linkEnd, end);
    m_routers[index].link->setMode(mode);
}

void SoakWorld::setPeerMode(std::size_t index, FaultyProxy::Mode mode)
{
    for (const auto &peer : m_routers[index].peers) {
        peer->setMode(mode);
    }
}

const DatagramLinks &SoakWorld::datagrams() const
{
    return m_links;
}

void SoakWorld::setRouterNews(std::size_t index, std::optional<DatagramFault> fault)
{
    setNews(m_routers[index].ip, fault);
}

void SoakWorld::setAgentNews(std::size_t index, std::optional<DatagramFault> fault)
{
    setNews(m_workers[index % m_size.engines].ip, fault);
}

void SoakWorld::setNews(const std::string &ip, std::optional<DatagramFault> fault)
{
    if (fault.has_value()) {
        m_links.setFault(ip, *fault);
    } else {
        m_links.endFault(ip);
    }
}

void SoakWorld::heal()
{
    m_links.heal();
    m_store.setMode(Test::StoreStandin::Mode::Well);
    for (Worker &worker : m_workers) {
        worker.proxy->setMode(FaultyProxy::Mode::Pass);
        worker.server->setFaultShare(0);
        worker.server->setEndlessCalls(false);
        worker.server->setOddCalls(false);
        if (worker.agent != nullptr) {
            worker.agent->signal(SIGCONT);
        }
    }
    for (Router &router : m_routers) {
        router.store->setMode(FaultyProxy::Mode::Pass);
        router.link->setMode(FaultyProxy::Mode::Pass);
        for (const auto &peer : router.peers) {
            peer->setMode(FaultyProxy::Mode::Pass);
        }
    }
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        signalRouter(index, SIGCONT);
    }
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        registerWorker(index);
    }
    for (std::size_t number = 0; number < maximumOddEntries; ++number) {
        m_store.remove("servers", oddName(number));
    }
}

EventLoop::Loop &SoakWorld::loop()
{
    return *m_loop;
}

Decisions::RandomSource &SoakWorld::random()
{
    return m_random;
}

Ledger &SoakWorld::ledger()
{
    return m_ledger;
}

Test::StoreStandin &SoakWorld::store()
{
    return m_store;
}

std::vector<Http::Endpoint> SoakWorld::routerEndpoints() const
{
    std::vector<Http::Endpoint> endpoints;
    for (const Router &router : m_routers) {
        endpoints.push_back(Http::Endpoint::parse(router.ip + ':' + callersPort).value());
    }
    return endpoints;
}

std::vector<Http::Endpoint> SoakWorld::linkEndpoints() const
{
    std::vector<Http::Endpoint> endpoints;
    for (const Router &router : m_routers) {
        endpoints.push_back(Http::Endpoint::parse(router.link->address()).value());
    }
    return endpoints;
}

// What a link holds up comes a while after it is sound again.
bool SoakWorld::isLinkHarmedSince(std::size_t index, Core::TimePoint time) const
{
    constexpr std::chrono::seconds longestStall{4};
    return m_routers[index].linkEnd + longestStall >= time;
}

bool SoakWorld::hasLinkRefused(std::size_t index, const std::string &id) const
{
    return m_routers[index].link->hasRefused("Verbenaladder-Attempt-Id: " + id);
}

std::size_t SoakWorld::routerCount() const
{
    return m_routers.size();
}

std::uint64_t SoakWorld::routerMegabytes() const
{
    return m_routerMegabytes;
}

const WorldSize &SoakWorld::size() const
{
    return m_size;
}

std::size_t SoakWorld::workerCount() const
{
    return m_workers.size();
}

} // namespace Verbena::Soak
