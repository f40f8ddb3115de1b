#include "platformdeployment.h"

#include <unistd.h>

namespace Verbena::Test {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr const char *model = "m";
constexpr const char *callersPort = "8782";
constexpr const char *readinessPort = "8789";
constexpr const char *peerPort = "7340";
constexpr std::size_t engineHost = 200;

std::string whole(const std::string &fields, const std::string &body, const std::string &status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns the first three numbers of the deployment's loopback addresses, which differ between test processes that run at the same time.
std::string networkNumber()
{
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + '.' + std::to_string(1 + pid % 250) + '.';
}

} // namespace

EngineFake::EngineFake(EventLoop::Loop &loop, const std::string &ip)
    : m_loop(loop)
    , m_worker(
          loop, [this](const Http::MessageHead &head, const std::string &body) { return answer(head, body); }, ip + ":0")
{
}

std::string EngineFake::address() const
{
    return m_worker.address();
}

const std::vector<json> &EngineFake::orders() const
{
    return m_orders;
}

const std::vector<Http::MessageHead> &EngineFake::runs() const
{
    return m_runs;
}

std::uint64_t EngineFake::version() const
{
    return m_version;
}

void EngineFake::holdOrders()
{
    m_isHoldingOrders = true;
}

const std::vector<Core::TimePoint> &EngineFake::runTimes() const
{
    return m_runTimes;
}

void EngineFake::nameLimit(std::optional<double> perSecond)
{
    m_limit = perSecond;
}

void EngineFake::reportWith(std::optional<std::string> bytes)
{
    m_report = std::move(bytes);
}

void EngineFake::sayLeaving()
{
    m_isLeaving = true;
}

void EngineFake::refuse(std::optional<std::chrono::seconds> rest)
{
    m_rest = rest;
    m_askedForRest.clear();
}

WorkerScript EngineFake::refusal(const std::string &attemptId)
{
    const bool isFirst = m_askedForRest.insert(attemptId.substr(0, attemptId.find('-'))).second;
    const std::string rest = isFirst ? "Retry-After: " + std::to_string(m_rest->count()) + "\r\n" : "";
    return {whole("Verbenaladder-Attempt-Id: " + attemptId + "\r\nVerbenaladder-Not-Run: 1\r\n" + rest, "", "503 Full")};
}

void EngineFake::workFor(std::chrono::milliseconds time)
{
    m_work = time;
}

void EngineFake::setRunning(int count)
{
    m_running = count;
}

WorkerScript EngineFake::answer(const Http::MessageHead &head, const std::string &body)
{
    if (head.target == "/report" && m_report.has_value()) {
        return {*m_report};
    }
    if (head.target == "/report") {
        const json report{{"models", {{{"name", model}, {"version", m_version}}}},
            {"born", 1'770'000'000'000},
            {"busy", false},
            {"sequence", m_orders.size()},
            {"queued", 0},
            {"running", m_running},
            {"kvUsed", 0},
            {"kvTotal", 1000}};
        return {whole("", report.dump())};
    }
    if (head.target.rfind("/kv-events", 0) == 0) {
        // Without events, the follower sends the next request after a pause of its own.
        return {whole("", json{{"bootEpoch", 1}, {"next", 1}, {"lost", false}, {"events", json::array()}}.dump())};
    }
    if (head.target == "/order") {
        return {order(body)};
    }
    m_runs.push_back(head);
    m_runTimes.push_back(m_loop.now());
    const std::string *id = head.field("Verbenaladder-Attempt-Id");
    if (m_rest.has_value()) {
        return refusal(id == nullptr ? "" : *id);
    }
    const std::string leaving = m_isLeaving ? "Server-Leaving: 1\r\n" : "";
    const std::string limit = m_limit.has_value() ? "Server-Limit: " + std::to_string(*m_limit) + "\r\n" : "";
    const std::string fields = "Verbenaladder-Attempt-Id: " + (id == nullptr ? "" : *id) + "\r\nVerbenaladder-Server-Stamp: stamp\r\n" + limit + leaving;
    return {whole(fields, "id: 1\ndata: answer of version " + std::to_string(m_version) + "\n\n"), WorkerScript::End::Keep, m_work};
}

std::string EngineFake::order(const std::string &body)
{
    const json wanted = json::parse(body);
    if (wanted.at("expectedRev") != m_orders.size()) {
        return whole("", "", "409 Conflict");
    }
    m_orders.push_back(wanted);
    m_version = m_isHoldingOrders ? m_version : wanted.at("version").get<std::uint64_t>();
    return whole("", "", "202 Accepted");
}

PlatformDeployment::PlatformDeployment(std::size_t routers, std::chrono::milliseconds longestWeightsUse)
    : m_longestWeightsUse(longestWeightsUse)
    , m_loop(std::move(EventLoop::Loop::create().value()))
    , m_store(*m_loop)
    , m_engine(*m_loop, networkNumber() + std::to_string(engineHost))
{
    m_store.put("op", "config", configuration(3));
    registerEngine();
    startAgent();
    m_routers.resize(routers);
    for (std::size_t index = 0; index < routers; ++index) {
        m_doors.push_back(std::make_unique<StoreDoor>(*m_loop, m_store));
    }
    for (std::size_t index = 0; index < routers; ++index) {
        startRouter(index);
    }
}

PlatformDeployment::~PlatformDeployment() = default;

std::string PlatformDeployment::hostNumber(std::size_t index) const
{
    return networkNumber() + std::to_string(1 + index);
}

std::string PlatformDeployment::hostFile(const std::string &name, const std::string &ip, const std::string &store, const std::string &more) const
{
    return m_folder.write(name + ".yaml",
        "nodeName: \"" + name + "\"\nip: \"" + ip
            + "\"\nzone: \"hall\"\nportRange: [7340, 7355]\nbounds:\n  retrySlack: 54\n  graceS: " + std::to_string(m_grace.count())
            + "\n  versionMs: " + std::to_string(m_longestWeightsUse.count()) + "\nprovider:\n  address: \"" + store + "\"\n" + more);
}

void PlatformDeployment::startAgent()
{
    m_agent = startFurtherAgent("side-1", m_engine, "reader");
}

std::unique_ptr<ChildProcess> PlatformDeployment::startFurtherAgent(const std::string &name, const EngineFake &engine, const std::string &service)
{
    const std::string address = engine.address();
    const std::string ip = address.substr(0, address.rfind(':'));
    const std::string file = hostFile(name, ip, m_store.address(), "app: \"" + address + "\"\nservice: \"" + service + "\"\n");
    auto agent = std::make_unique<ChildProcess>("verbena-agent", std::vector<std::string>{"--host", file});
    waitUntilStarted(*agent);
    return agent;
}

void PlatformDeployment::startRouter(std::size_t index)
{
    const std::string ip = hostNumber(index);
    const std::string file = hostFile("front-" + std::to_string(index + 1),
        ip,
        m_doors[index]->address(),
        "listen:\n  front: \"" + ip + ':' + callersPort + "\"\n  ready: \"" + ip + ':' + readinessPort + "\"\n" + m_limits);
    m_routers[index] = std::make_unique<ChildProcess>("verbena-router", std::vector<std::string>{"--host", file}, m_systemDescriptors);
    waitUntilStarted(*m_routers[index]);
}

// A process installs its signal handlers before it logs its first line.
void PlatformDeployment::waitUntilStarted(ChildProcess &process)
{
    process.waitForLine("{\"time\"");
}

void PlatformDeployment::setHostLimits(const HostLimits &limits)
{
    m_systemDescriptors = limits.systemDescriptors;
    m_limits = "limits:\n  memoryMb: " + std::to_string(limits.memoryMegabytes) + "\n  maxFds: " + std::to_string(limits.descriptors) + "\n";
}

void PlatformDeployment::setGrace(std::chrono::seconds grace)
{
    m_grace = grace;
}

void PlatformDeployment::restartRouter(std::size_t index)
{
    m_routers[index].reset();
    startRouter(index);
}

void PlatformDeployment::stopRouter(std::size_t index)
{
    m_routers[index].reset();
}

void PlatformDeployment::darkenRouter(std::size_t index)
{
    m_routers[index].reset();
    const auto keep = [](const Http::MessageHead &, const std::string &) {
        return WorkerScript{};
    };
    m_dark.push_back(std::make_unique<WorkerFake>(*m_loop, keep, hostNumber(index) + ':' + peerPort));
}

void PlatformDeployment::restartAgent()
{
    m_agent.reset();
    startAgent();
}

void PlatformDeployment::registerEngine()
{
    m_store.put("servers",
        "i-1",
        {{"service", "reader"},
            {"address", m_engine.address()},
            {"zone", "hall"},
            {"slots", 96},
            {"phase", "ready"},
            {"models", {{{"name", model}, {"version", 1}}}},
            {"sequence", 1}});
}

json PlatformDeployment::configuration(std::uint64_t version)
{
    const json route{{"name", "r"},
        {"hostname", "x.example"},
        {"prefix", "/wall/"},
        {"kind", "streaming"},
        {"timeoutMs", 20000},
        {"targetLatencyMs", 400},
        {"priority", 1},
        {"service", "reader"},
        {"attempts", 1},
        {"public", false},
        {"resumable", false}};
    return {{"version", version},
        {"routes", {route}},
        {"services", {{{"name", "reader"}, {"engine", {{"slots", 96}}}}}},
        {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 100000}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
        {"tenants", {{{"name", "dams"}, {"apiKeys", {"secret"}}, {"dedicated", false}}}}};
}

EventLoop::Loop &PlatformDeployment::loop()
{
    return *m_loop;
}

StoreStandin &PlatformDeployment::store()
{
    return m_store;
}

StoreDoor &PlatformDeployment::door(std::size_t router)
{
    return *m_doors[router];
}

EngineFake &PlatformDeployment::engine()
{
    return m_engine;
}

ChildProcess &PlatformDeployment::router(std::size_t index)
{
    return *m_routers[index];
}

ChildProcess &PlatformDeployment::agent()
{
    return *m_agent;
}

Http::Endpoint PlatformDeployment::callersEndpoint(std::size_t router) const
{
    return Http::Endpoint::parse(hostNumber(router) + ':' + callersPort).value();
}

void PlatformDeployment::addLoadedServer(nlohmann::json configuration, const std::string &address)
{
    nlohmann::json route = configuration["routes"][0];
    route["name"] = "load";
    route["prefix"] = "/load/";
    route["kind"] = "non_idempotent";
    route["service"] = "loader";
    configuration["routes"].push_back(route);
    configuration["services"].push_back({{"name", "loader"}});
    m_store.put("op", "config", configuration);
    m_store.put("servers", "i-2", {{"service", "loader"}, {"address", address}, {"zone", "hall"}, {"slots", 96}, {"phase", "ready"}, {"sequence", 1}});
}

std::string PlatformDeployment::ask(const std::string &key, const std::string &path, std::size_t router)
{
    CallerFake caller(*m_loop, callersEndpoint(router));
    caller.send("POST " + path
        + " HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: 9c41\r\nVerbenaladder-Model: m\r\nVerbenaladder-Token-Count: 100,10\r\n"
        + "Verbenaladder-Prompt-Prefix: a:60,b:40\r\nVerbenaladder-Deadline-Ms: 10000\r\nAuthorization: Token " + key
        + "\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi");
    runUntil([&caller] { return caller.isClosed(); });
    return caller.received();
}

bool PlatformDeployment::askUntil(const std::string &part, const std::string &key, const std::string &path, std::size_t router)
{
    const Core::TimePoint deadline = m_loop->now() + 30s;
    while (m_loop->now() < deadline) {
        if (ask(key, path, router).find(part) != std::string::npos) {
            return true;
        }
    }
    return false;
}

bool PlatformDeployment::runUntil(const std::function<bool()> &isDone)
{
    return Test::runUntil(*m_loop, isDone);
}

void PlatformDeployment::runFor(std::chrono::milliseconds span)
{
    const Core::TimePoint end = m_loop->now() + span;
    runUntil([this, end] { return m_loop->now() >= end; });
}

} // namespace Verbena::Test
