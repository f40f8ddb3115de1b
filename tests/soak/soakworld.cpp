#include "soakworld.h"

#include <csignal>
#include <fstream>

#include <nlohmann/json.hpp>

#include <sys/wait.h>
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

bool hasEnded(const Test::ChildProcess &process)
{
    siginfo_t info{};
    return waitid(P_PID, static_cast<id_t>(process.pid()), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid != 0;
}

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

std::string SoakWorld::hostFile(const std::string &name, const std::string &address, const std::string &store, const std::string &more) const
{
    return m_folder.write(name + ".yaml",
        "nodeName: \"" + name + "\"\nip: \"" + address
            + "\"\nzone: \"hall\"\nportRange: [7340, 7355]\nbounds:\n  graceS: 6\n  retrySlack: 500\nprovider:\n  address: \"" + store + "\"\n" + more);
}

void SoakWorld::startRouter(std::size_t index)
{
    Router &router = m_routers[index];
    const std::string file = hostFile("front-" + std::to_string(index),
        router.ip,
        router.store->address(),
        "listen:\n  front: \"" + router.ip + ':' + callersPort + "\"\n  ready: \"" + router.ip + ':' + readinessPort + "\"\n");
    router.process = std::make_unique<Test::ChildProcess>("verbena-router", std::vector<std::string>{"--host", file});
    router.isRestarted = true;
    checkStarted(*router.process, "verbena-router");
}

void SoakWorld::startAgent(std::size_t index)
{
    Worker &worker = m_workers[index];
    const std::string file
        = hostFile("side-" + std::to_string(index), worker.ip, m_store.address(), "app: \"" + worker.proxy->address() + "\"\nservice: \"reader\"\n");
    worker.agent = std::make_unique<Test::ChildProcess>("verbena-agent", std::vector<std::string>{"--host", file});
    checkStarted(*worker.agent, "verbena-agent");
}

// A program that is missing, or is being built, never comes back: that says nothing of the promises, so the run says it by itself.
void SoakWorld::checkStarted(const Test::ChildProcess &process, const std::string &program)
{
    if (process.pid() < 0) {
        m_ledger.noteBroken(program + " could not be started; was it replaced while the soak ran?");
    }
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

void SoakWorld::signalRouter(std::size_t index, int signalNumber)
{
    m_routers[index].process->sendSignal(signalNumber);
}

void SoakWorld::signalAgent(std::size_t index, int signalNumber)
{
    m_workers[index % m_engines].agent->sendSignal(signalNumber);
}

void SoakWorld::restartEnded()
{
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        if (hasEnded(*m_routers[index].process)) {
            m_routers[index].process.reset();
            startRouter(index);
        }
    }
    for (std::size_t index = 0; index < m_engines; ++index) {
        if (hasEnded(*m_workers[index].agent)) {
            m_workers[index].agent.reset();
            startAgent(index);
        }
    }
}

void SoakWorld::endCrashing()
{
    for (const std::size_t index : std::exchange(m_crashing, {})) {
        crashWorker(index);
    }
}

void SoakWorld::collectLogs()
{
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        m_logs["front-" + std::to_string(index)] += m_routers[index].process->takeOutput();
    }
    for (std::size_t index = 0; index < m_engines; ++index) {
        m_logs["side-" + std::to_string(index)] += m_workers[index].agent->takeOutput();
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
        if (worker.agent != nullptr) {
            worker.agent->sendSignal(SIGCONT);
        }
    }
    for (Router &router : m_routers) {
        router.store->setMode(FaultyProxy::Mode::Pass);
        router.process->sendSignal(SIGCONT);
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
