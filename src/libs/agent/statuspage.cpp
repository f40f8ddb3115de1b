#include "statuspage.h"

#include <nlohmann/json.hpp>

namespace Verbena::Agent {

namespace {

constexpr unsigned maximumConnections = 64;

} // namespace

Core::Result<std::unique_ptr<StatusPage>> StatusPage::create(
    EventLoop::Loop &loop, const StatusListen &listen, const AgentTask &task, Observe::Metrics &metrics)
{
    std::unique_ptr<StatusPage> page(new StatusPage(listen, task, metrics));
    Http::HttpServerOptions options;
    options.address = listen.address;
    options.port = listen.port;
    options.maximumConnections = maximumConnections;
    VERBENA_TRY(opened, Http::HttpServer::create(loop, options, *page));
    page->m_server = std::move(opened);
    return page;
}

StatusPage::StatusPage(const StatusListen &listen, const AgentTask &task, Observe::Metrics &metrics)
    : m_listen(listen)
    , m_task(task)
    , m_metrics(metrics)
{
}

void StatusPage::setControl(const AgentControl *control)
{
    m_control = control;
}

std::string StatusPage::address() const
{
    return m_listen.address + ":" + std::to_string(m_server->port());
}

void StatusPage::handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    if (exchange->path() == "/healthz") {
        exchange->respond(200, {{"Content-Type", "text/plain"}}, "ok\n");
    } else if (exchange->path() == "/status") {
        exchange->respond(200, {{"Content-Type", "application/json"}}, statusJson());
    } else if (exchange->path() == "/metrics") {
        updateGauges();
        exchange->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.renderPrometheus());
    } else {
        exchange->respond(404, {{"Content-Type", "text/plain"}}, "There is no such page.\n");
    }
}

std::string StatusPage::statusJson() const
{
    const RunManager &runs = m_task.runs();
    const Decisions::AdmissionGate &gate = runs.gate();
    nlohmann::json status{{"name", m_task.settings().name},
        {"incarnation", m_task.incarnation()},
        {"backend_incarnation", gate.cache().incarnation()},
        {"backend_up", runs.backend().isUp()},
        {"leaving", gate.isLeaving()},
        {"routers", m_task.routerCount()},
        {"refused_peers", m_task.refusedPeerCount()},
        {"attempts", runs.runs().size()},
        {"running", gate.running()},
        {"queued", gate.queued()},
        {"buffered_bytes", runs.runs().bufferedBytes()},
        {"body_bytes", runs.runs().bodyBytes()},
        {"cached_prefixes", gate.cache().size()},
        {"lost_event_gaps", gate.cache().lostEventGaps()}};
    if (m_control != nullptr) {
        status["settings"] = nlohmann::json::parse(m_control->settingsStatus().toJson(), nullptr, false);
        status["orders_sent"] = m_control->orders().sentCount();
        status["orders_fenced"] = m_control->orders().fencedCount();
    }
    return status.dump(2) + "\n";
}

void StatusPage::updateGauges()
{
    const RunManager &runs = m_task.runs();
    m_metrics.setGauge("agent_running", static_cast<double>(runs.gate().running()));
    m_metrics.setGauge("agent_queued", static_cast<double>(runs.gate().queued()));
    m_metrics.setGauge("agent_buffered_bytes", static_cast<double>(runs.runs().bufferedBytes()));
    m_metrics.setGauge("agent_backend_up", runs.backend().isUp() ? 1.0 : 0.0);
    m_metrics.setGauge("agent_cached_prefixes", static_cast<double>(runs.gate().cache().size()));
    m_metrics.setGauge("agent_refused_peers", static_cast<double>(m_task.refusedPeerCount()));
}

} // namespace Verbena::Agent
