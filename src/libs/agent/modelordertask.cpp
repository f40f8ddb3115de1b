#include "modelordertask.h"

#include "agentevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>

namespace Verbena::Agent {

namespace {

using namespace Decisions;

std::vector<DeclaredModel> declaredModels(const Settings::InForceSettings &settings)
{
    std::vector<DeclaredModel> models;
    for (const auto &[name, model] : settings.models) {
        models.push_back({{name, "", model.weightsVersion}, model.replicas});
        for (const std::string &adapter : model.adapters) {
            models.push_back({{name, adapter, model.weightsVersion}, model.replicas});
        }
    }
    return models;
}

std::string answerName(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Done:
        return "done";
    case OrderAnswer::Refused:
        return "refused";
    case OrderAnswer::Fenced:
        return "fenced";
    case OrderAnswer::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

ModelOrderTask::ModelOrderTask(EventLoop::Loop &loop, Store::TableService &table, BackendAdapter &backend, const std::string &name, std::uint64_t seed)
    : m_loop(loop)
    , m_backend(backend)
    , m_name(name)
    , m_plan(backendServerId(name))
    , m_orders({})
    , m_engineLease(table, loop, Control::LeaseManager::namedLease({}, "engines/" + name, name, seed), [this] { run(); })
    , m_permit(table, loop, Control::LeaseManager::weightPermit({}, name, seed + 1), [this] { run(); })
    , m_timer(loop, [this] { run(); })
{
}

void ModelOrderTask::setSettings(const Settings::InForceSettings &settings)
{
    m_servers.clear();
    for (const auto &[name, server] : settings.backendServers) {
        if (server.service.empty()) {
            m_servers.push_back(server);
        }
    }
    // An engine that the settings do not name, perhaps not yet, keeps what it has.
    m_isDeclared = std::any_of(m_servers.begin(), m_servers.end(), [this](const auto &server) { return server.name == m_name; });
    if (!m_isDeclared) {
        m_orders.setOrders({});
        updateLeases();
        return;
    }
    // What is held comes last: without engines and models all of it would seem to be of no use.
    setEngines();
    m_plan.setModels(declaredModels(settings), m_loop.now());
    if (m_hasReport) {
        m_plan.setLoaded(m_held, m_loop.now());
    }
    run();
}

void ModelOrderTask::setHosts(const std::vector<Store::HostEntry> &hosts)
{
    m_hosts = hosts;
    if (m_isDeclared) {
        setEngines();
        run();
    }
}

void ModelOrderTask::noteReport(const BackendReport &report)
{
    if (!report.hasModels || (m_hasReport && report.models == m_held)) {
        return;
    }
    m_hasReport = true;
    m_held = report.models;
    if (m_isDeclared) {
        m_plan.setLoaded(m_held, m_loop.now());
        run();
    }
}

std::uint64_t ModelOrderTask::sentCount() const
{
    return m_sentCount;
}

std::uint64_t ModelOrderTask::fencedCount() const
{
    return m_fencedCount;
}

void ModelOrderTask::setEngines()
{
    std::vector<PlannedEngine> engines;
    engines.reserve(m_servers.size());
    for (const Settings::BackendServerSettings &server : m_servers) {
        engines.push_back({backendServerId(server.name), server.models, !server.isDrained && isPresent(server.name)});
    }
    m_plan.setEngines(engines, m_loop.now());
}

// Without a list, which may be out for long, everybody that the settings name counts.
bool ModelOrderTask::isPresent(const std::string &name) const
{
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [&name](const Store::HostEntry &host) { return host.name == name; });
    return m_hosts.empty() || (found != m_hosts.end() && !found->isLeaving);
}

void ModelOrderTask::run()
{
    if (!m_hasReport || !m_isDeclared) {
        return;
    }
    const Core::TimePoint now = m_loop.now();
    m_plan.tick(now);
    m_orders.setOrders(m_plan.orders());
    updateLeases();
    const std::optional<EngineOrder> order = m_backend.isUp() ? m_orders.nextOrder(m_engineLease.lease(), m_permit.lease(), now) : std::nullopt;
    if (order) {
        send(*order);
    }
    schedule();
}

void ModelOrderTask::updateLeases()
{
    m_engineLease.setWanted(m_orders.isLeaseWanted());
    m_permit.setWanted(m_orders.isPermitWanted());
}

void ModelOrderTask::send(const EngineOrder &order)
{
    // An engine that does not check the fencing number relies on this process alone: the lease has to hold at this moment, and a
    // pause between here and the engine is why orders are absolute.
    if (!m_orders.maySend(order, m_engineLease.lease(), m_permit.lease(), m_loop.now())) {
        return;
    }
    m_orders.recordSent(order, m_loop.now());
    ++m_sentCount;
    m_backend.sendOrder(order, [this, order](OrderAnswer answer) { receiveAnswer(order, answer); });
}

void ModelOrderTask::receiveAnswer(const EngineOrder &order, OrderAnswer answer)
{
    const bool isLoad = order.order.kind == ModelOrder::Kind::Load;
    const ModelVersion &version = order.order.version;
    Observe::log(answer == OrderAnswer::Done ? orderTaken : orderFailed,
        {{"order", isLoad ? "load" : "unload"},
            {"model", version.model},
            {"adapter", version.adapter},
            {"version", version.weightsVersion},
            {"fencing", std::to_string(order.fencingNumber)},
            {"answer", answerName(answer)}});
    m_fencedCount += answer == OrderAnswer::Fenced ? 1 : 0;
    m_orders.recordAnswer(order, answer, m_loop.now());
    run();
}

void ModelOrderTask::schedule()
{
    std::optional<Core::TimePoint> next = m_plan.nextDeadline();
    const std::optional<Core::TimePoint> order = m_orders.nextDeadline();
    if (order && *order > m_loop.now() && (!next || *order < *next)) {
        next = order;
    }
    if (next) {
        m_timer.startAt(*next);
    }
}

} // namespace Verbena::Agent
