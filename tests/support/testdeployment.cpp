#include "testdeployment.h"

#include <csignal>
#include <cstdlib>
#include <thread>

namespace Verbena::Test {

namespace {

// SHA-256 of the callers' keys "secret" and "rosters".
constexpr const char *secretHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
constexpr const char *rostersHash = "fb76e4203fc88b6f8d1d1d2510047ec27dbef3d62c937388ee80bcf457f233a5";

// What an engine stand-in holds when it starts.
const std::string weightsVersion = "1";

std::string organisationText(const std::string &organisation, const std::string &team, const std::string &keyHash)
{
    return "  " + organisation + ":\n    share: 1\n    teams:\n      " + team + ": {share: 1, keys: [" + keyHash
        + "], models: [analyst, \"analyst:wall\"], services: [register], classes: {urgent: 0, batch: 6}}\n";
}

bool isEngine(const TestDeployment::Backend &backend)
{
    return backend.name.starts_with("engine");
}

constexpr int readyStatus = 200;

std::string portOf(const std::string &address)
{
    return address.substr(address.rfind(':') + 1);
}

} // namespace

TestDeployment::TestDeployment(DeploymentOptions options)
    : m_options(std::move(options))
    , m_engines(m_options.engines)
    , m_services(m_options.services)
    , m_routers(m_options.routers)
{
    if (m_options.hasPlatform) {
        startPlatform();
    }
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        m_engines[i].name = "engine" + std::to_string(i + 1);
        startServer(m_engines[i], "0");
        startAgent(m_engines[i]);
    }
    for (std::size_t i = 0; i < m_services.size(); ++i) {
        m_services[i].name = "register" + std::to_string(i + 1);
        startServer(m_services[i], "0");
        startAgent(m_services[i]);
    }
    if (m_options.hasPlatform) {
        applyTree();
    }
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        startRouter(i);
    }
}

TestDeployment::Backend &TestDeployment::engine(std::size_t index)
{
    return m_engines.at(index);
}

TestDeployment::Backend &TestDeployment::service(std::size_t index)
{
    return m_services.at(index);
}

ChildProcess &TestDeployment::router(std::size_t index)
{
    return *m_routers.at(index).process;
}

ChildProcess &TestDeployment::platform()
{
    return *m_platform;
}

const std::string &TestDeployment::platformUrl() const
{
    return m_platformUrl;
}

std::string TestDeployment::routerUrl(std::size_t index) const
{
    return "http://" + m_routers.at(index).address;
}

TestAnswer TestDeployment::post(const std::string &path, const std::string &body, const std::vector<std::string> &fields, std::size_t router) const
{
    std::vector<std::string> lines = fields;
    lines.emplace_back("Authorization: Bearer secret");
    return sendHttp("POST", routerUrl(router) + path, lines, body);
}

void TestDeployment::restartServer(Backend &backend)
{
    backend.server.reset();
    startServer(backend, portOf(backend.address));
}

void TestDeployment::restartAgent(Backend &backend)
{
    backend.agent.reset();
    startAgent(backend);
}

void TestDeployment::restartRouter(std::size_t index)
{
    m_routers.at(index).process.reset();
    startRouter(index);
}

void TestDeployment::startServer(Backend &backend, const std::string &port)
{
    std::vector<std::string> arguments{isEngine(backend) ? "engine" : "service", "--port", port};
    const std::vector<std::string> &further = isEngine(backend) ? m_options.engineArguments : m_options.serviceArguments;
    arguments.insert(arguments.end(), further.begin(), further.end());
    backend.server = std::make_unique<ChildProcess>("verbena-standin", arguments);
    backend.address = backend.server->waitForLine("listening http ");
}

void TestDeployment::startAgent(Backend &backend)
{
    const std::string endpoint = backend.endpoint.empty() ? "tcp://127.0.0.1:*" : backend.endpoint;
    const std::string path = m_folder.write(backend.name + ".yaml",
        "name: " + backend.name + "\nendpoint: \"" + endpoint + "\"\nbackend_url: http://" + backend.address
            + "\nkind: " + (backend.name.starts_with("engine") ? "engine" : "service") + "\nstatus: {port: 0}\n" + platformLine() + m_options.agentSettings);
    backend.agent = std::make_unique<ChildProcess>("verbena-agent", std::vector<std::string>{"--settings", path});
    backend.statusAddress = backend.agent->waitForLine("listening status ");
    backend.endpoint = backend.agent->waitForLine("listening zmq ");
}

void TestDeployment::startRouter(std::size_t index)
{
    Router &router = m_routers.at(index);
    router.process = std::make_unique<ChildProcess>("verbena-router", std::vector<std::string>{"--settings", routerFile(index)});
    router.address = router.process->waitForLine("listening http ");
    waitUntilReady(index);
}

void TestDeployment::waitUntilReady(std::size_t index) const
{
    int status = 0;
    while ((status = sendHttp("GET", routerUrl(index) + "/readyz", {}, "").status) != readyStatus && status != 0) {
        std::this_thread::yield();
    }
}

void TestDeployment::startPlatform()
{
    m_platform = std::make_unique<ChildProcess>("verbena-standin", std::vector<std::string>{"platform", "--port", "0"});
    m_platformUrl = "http://" + m_platform->waitForLine("listening http ");
}

void TestDeployment::applyTree() const
{
    ChildProcess apply("verbenactl", {"--platform", m_platformUrl, "settings", "apply", treeFile()});
    if (apply.waitForExit() != 0) {
        std::abort();
    }
}

std::string TestDeployment::routerFile(std::size_t index) const
{
    const std::string name = "router" + std::to_string(index + 1);
    const std::string files = m_options.hasPlatform ? std::string() : "settings_tree_files: [\"" + treeFile() + "\"]\n";
    std::string text = "name: " + name + "\n" + files + platformLine() + "settings_peers:\n";
    for (const std::vector<Backend> *backends : {&m_engines, &m_services}) {
        for (const Backend &backend : *backends) {
            text += "  - {name: " + backend.name + ", endpoint: \"" + backend.endpoint + "\"}\n";
        }
    }
    return m_folder.write(name + ".yaml", text + m_options.routerSettings);
}

std::string TestDeployment::platformLine() const
{
    return m_options.hasPlatform ? "platform_url: " + m_platformUrl + "\n" : std::string();
}

std::string TestDeployment::treeFile() const
{
    std::string text = "models:\n  analyst: {weights_version: \"" + weightsVersion + "\", adapters: [wall]}\n"
        + "services:\n  register: {non_idempotent_calls: [append]}\nbackend_servers:\n";
    for (const Backend &backend : m_engines) {
        text += "  " + backend.name + ": {endpoint: \"" + backend.endpoint + "\", failure_domain: a, models: [analyst]}\n";
    }
    for (const Backend &backend : m_services) {
        text += "  " + backend.name + ": {endpoint: \"" + backend.endpoint + "\", failure_domain: a, service: register}\n";
    }
    text += "organisations:\n" + organisationText("kessick", "dams", secretHash) + organisationText("kalari", "kochi", rostersHash);
    return m_folder.write("tree.yaml", text);
}

} // namespace Verbena::Test
