#include "soakworld.h"

#include <csignal>
#include <fstream>

#include <nlohmann/json.hpp>

#include <sys/resource.h>
#include <unistd.h>

namespace Verbena::Soak {

using nlohmann::json;

namespace {

constexpr const char *callersPort = "8782";
constexpr const char *readinessPort = "8789";
constexpr std::size_t firstWorkerHost = 100;

json route(const std::string &prefix, const char *kind, const char *service, bool isResumable)
{
    return {{"name", prefix},
        {"hostname", "x.example"},
        {"prefix", prefix},
        {"kind", kind},
        {"timeoutMs", 3000},
        {"targetLatencyMs", 1000},
        {"priority", 1},
        {"service", service},
        {"attempts", 2},
        {"public", false},
        {"resumable", isResumable}};
}

// Share of starts with a soft limit of descriptors far below the hard one, and of those whose host file is not whole at first.
constexpr double smallLimitShare = 0.3;
constexpr double incompleteFileShare = 0.2;
constexpr rlim_t smallLimit = 96;

} // namespace

SoakWorld::SoakWorld(std::uint64_t seed, const WorldSize &size)
    : m_loop(std::move(EventLoop::Loop::create().value()))
    , m_random(seed)
    , m_store(*m_loop)
    , m_engines(size.engines)
{
    writeConfiguration();
    m_workers.resize(size.engines + size.services);
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        Worker &worker = m_workers[index];
        worker.ip = ip(firstWorkerHost + index);
        worker.server = std::make_unique<SoakWorker>(*m_loop, worker.ip, "w" + std::to_string(index), index < m_engines, m_ledger, m_random);
        worker.server->setCrashObserver([this, index] { m_crashing.insert(index); });
        worker.proxy = std::make_unique<FaultyProxy>(*m_loop, worker.ip + ":0", worker.server->address());
        registerWorker(index);
        if (index < m_engines) {
            startAgent(index);
        }
    }
    m_routers.resize(size.routers);
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        m_routers[index].ip = ip(1 + index);
        m_routers[index].store = std::make_unique<FaultyProxy>(*m_loop, "127.0.0.1:0", m_store.address());
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

std::string SoakWorld::hostFile(const std::string &name, const std::string &address, const std::string &store, const std::string &more)
{
    const std::string text = "nodeName: \"" + name + "\"\nip: \"" + address
        + "\"\nzone: \"hall\"\nportRange: [7340, 7355]\nbounds:\n  graceS: 6\n  retrySlack: 500\n" + more + "provider:\n  address: \"" + store + "\"\n";
    if (m_random.uniform() >= incompleteFileShare) {
        return m_folder.write(name + ".yaml", text);
    }
    m_incompleteFiles[name + ".yaml"] = text;
    return m_folder.write(name + ".yaml", text.substr(0, text.size() / 2));
}

SoakWorld::Process SoakWorld::start(const std::string &program, const std::string &name, const std::string &hostFile)
{
    std::optional<rlimit> limit;
    rlimit system{};
    if (m_random.uniform() < smallLimitShare && getrlimit(RLIMIT_NOFILE, &system) == 0) {
        limit = rlimit{smallLimit, system.rlim_max};
    }
    Process process{std::make_unique<Test::ChildProcess>(program, std::vector<std::string>{"--host", hostFile}, limit), name};
    if (process.child->pid() < 0) {
        m_ledger.noteBroken(program + " could not be started");
    }
    return process;
}

void SoakWorld::startRouter(std::size_t index)
{
    Router &router = m_routers[index];
    const std::string name = "front-" + std::to_string(index);
    const std::string file = hostFile(name,
        router.ip,
        router.store->address(),
        "listen:\n  front: \"" + router.ip + ':' + callersPort + "\"\n  ready: \"" + router.ip + ':' + readinessPort + "\"\n");
    router.process = start("verbena-router", name, file);
    router.isRestarted = true;
}

void SoakWorld::startAgent(std::size_t index)
{
    Worker &worker = m_workers[index];
    const std::string name = "side-" + std::to_string(index);
    const std::string file = hostFile(name, worker.ip, m_store.address(), "app: \"" + worker.proxy->address() + "\"\nservice: \"reader\"\n");
    worker.agent = start("verbena-agent", name, file);
}

void SoakWorld::registerWorker(std::size_t index)
{
    const Worker &worker = m_workers[index];
    json models = json::array();
    if (index < m_engines) {
        models.push_back({{"name", "m"}, {"version", worker.server->version()}});
    }
    m_store.put("servers",
        worker.server->id(),
        {{"service", index < m_engines ? "reader" : "register"},
            {"address", worker.proxy->address()},
            {"zone", "hall"},
            {"slots", 96},
            {"phase", "ready"},
            {"models", models},
            {"sequence", 1}});
}

void SoakWorld::writeConfiguration()
{
    m_store.put("op",
        "config",
        {{"version", m_configuration},
            {"routes",
                {route("/safe/", "idempotent", "register", false),
                    route("/once/", "non_idempotent", "register", false),
                    route("/resume/", "streaming", "reader", true),
                    route(newestPath(), "idempotent", "register", false)}},
            {"services", {{{"name", "reader"}, {"engine", {{"slots", 96}}}}, {{"name", "register"}}}},
            {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 100000}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
            {"tenants", {{{"name", "dams"}, {"apiKeys", {"secret"}}, {"dedicated", false}}}}});
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
    for (std::size_t index = 0; index < m_engines; ++index) {
        if (m_workers[index].server->version() < m_weights) {
            return false;
        }
    }
    return true;
}

// Returns whether a process neither blocks nor handles a signal yet, by what the system says of it.
bool SoakWorld::isLoading(const Process &process, int signalNumber)
{
    std::ifstream status("/proc/" + std::to_string(process.child->pid()) + "/status");
    const std::uint64_t bit = std::uint64_t(1) << (signalNumber - 1);
    std::string word;
    while (status >> word) {
        std::string mask;
        if ((word == "SigBlk:" || word == "SigCgt:") && status >> mask && (std::stoull(mask, nullptr, 16) & bit) != 0) {
            return false;
        }
    }
    return true;
}

void SoakWorld::signal(Process &process, int signalNumber)
{
    if (process.child == nullptr) {
        return;
    }
    process.isSignalledWhileLoading = process.isSignalledWhileLoading || isLoading(process, signalNumber);
    process.isKilled = process.isKilled || signalNumber == SIGKILL;
    process.child->sendSignal(signalNumber);
}

void SoakWorld::signalRouter(std::size_t index, int signalNumber)
{
    Router &router = m_routers[index];
    if (signalNumber == SIGKILL) {
        router.lastKill = m_loop->now();
    }
    signal(router.process, signalNumber);
}

void SoakWorld::signalAgent(std::size_t index, int signalNumber)
{
    signal(m_workers[index % m_engines].agent, signalNumber);
}

bool SoakWorld::wasKilledSince(std::size_t index, Core::TimePoint time) const
{
    return m_routers[index].lastKill >= time;
}

void SoakWorld::replaceRouter(std::size_t index)
{
    Router &router = m_routers[index];
    if (router.predecessor.child != nullptr) {
        return;
    }
    router.predecessor = std::move(router.process);
    signal(router.predecessor, SIGCONT);
    signal(router.predecessor, SIGTERM);
    startRouter(index);
}

void SoakWorld::closeRouterLog(std::size_t index)
{
    m_routers[index].process.child->closeOutput();
}

void SoakWorld::closeAgentLog(std::size_t index)
{
    m_workers[index % m_engines].agent.child->closeOutput();
}

void SoakWorld::restartEnded()
{
    for (const auto &[name, text] : std::exchange(m_incompleteFiles, {})) {
        m_folder.write(name, text);
    }
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        (void)reapIfEnded(m_routers[index].predecessor);
        if (reapIfEnded(m_routers[index].process)) {
            startRouter(index);
        }
    }
    for (std::size_t index = 0; index < m_engines; ++index) {
        if (reapIfEnded(m_workers[index].agent)) {
            startAgent(index);
        }
    }
}

// Returns whether the process has ended, and takes it for broken if it did so by itself. A signal that comes while the system still loads the program has its
// default effect.
bool SoakWorld::reapIfEnded(Process &process)
{
    if (process.child == nullptr || process.child->isRunning()) {
        return false;
    }
    collectLog(process);
    const int status = process.child->waitForExit();
    const bool isEndedWhileLoading = process.isSignalledWhileLoading && (status == -SIGTERM || status == -SIGHUP);
    if (status != 0 && !(process.isKilled && status == -SIGKILL) && !isEndedWhileLoading) {
        const char *missing = status == Test::ChildProcess::notExecutedStatus ? "; was the program replaced while the soak ran?" : "";
        m_ledger.noteBroken(process.name + " ended by itself, status " + std::to_string(status) + missing);
    }
    process = {};
    return true;
}

void SoakWorld::endCrashing()
{
    for (const std::size_t index : std::exchange(m_crashing, {})) {
        crashWorker(index);
    }
}

void SoakWorld::collectLog(Process &process)
{
    if (process.child == nullptr) {
        return;
    }
    const std::string output = process.child->takeOutput();
    m_logs[process.name] += output;
}

void SoakWorld::collectLogs()
{
    for (Router &router : m_routers) {
        collectLog(router.predecessor);
        collectLog(router.process);
    }
    for (Worker &worker : m_workers) {
        collectLog(worker.agent);
    }
}

void SoakWorld::writeLogs(const std::string &folder) const
{
    for (const auto &[name, text] : m_logs) {
        std::string path = folder;
        path.append("/").append(name).append(".log");
        std::ofstream(path) << text;
    }
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

void SoakWorld::heal()
{
    m_store.setMode(Test::StoreStandin::Mode::Well);
    for (Worker &worker : m_workers) {
        worker.proxy->setMode(FaultyProxy::Mode::Pass);
        worker.server->setFaultShare(0);
        signal(worker.agent, SIGCONT);
    }
    for (Router &router : m_routers) {
        router.store->setMode(FaultyProxy::Mode::Pass);
        signal(router.process, SIGCONT);
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

std::size_t SoakWorld::routerCount() const
{
    return m_routers.size();
}

std::size_t SoakWorld::workerCount() const
{
    return m_workers.size();
}

} // namespace Verbena::Soak
