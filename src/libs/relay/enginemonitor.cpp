#include "enginemonitor.h"

#include <core/boundedspan.h>
#include <eventloop/loop.h>

#include <cmath>

namespace Verbena::Relay {

namespace {

// Well below the time for which agents send reports after a request.
constexpr std::chrono::milliseconds requestInterval{1200};

Decisions::EngineStatus statusOf(const verbena::wire::EngineNews &report, Core::TimePoint now)
{
    Decisions::EngineStatus status;
    status.incarnation = report.incarnation();
    for (const verbena::wire::EngineWeights &weights : report.weights()) {
        status.weights.record(weights.model(), weights.version());
    }
    status.isSilent = report.silent();
    status.isLoading = report.loading();
    if (report.load_in_us() > 0) {
        status.loadTime = now + Core::boundedSpan<std::chrono::microseconds>(report.load_in_us() - 1);
    }
    status.running = report.running();
    status.waiting = report.waiting();
    status.usedTokens = report.used_tokens();
    status.totalTokens = report.total_tokens();
    if (std::isfinite(report.pace()) && report.pace() > 0) {
        status.pace = report.pace();
    }
    if (report.has_parts()) {
        status.parts.emplace();
        for (const std::uint64_t part : report.parts()) {
            status.parts->push_back(Decisions::PartKey(part));
        }
    }
    return status;
}

} // namespace

Core::Result<std::unique_ptr<EngineMonitor>> EngineMonitor::create(EventLoop::Loop &loop, const Http::Endpoint &address, RelayTask &relay, PeerRowSource &peers)
{
    std::unique_ptr<EngineMonitor> monitor(new EngineMonitor(loop, address, relay, peers));
    auto socket = Wire::DatagramSocket::bind(
        loop, address.address, [raw = monitor.get()](const sockaddr_in &, const verbena::wire::Envelope &message) { raw->handleReport(message); });
    if (!socket) {
        return socket.error();
    }
    monitor->m_socket = std::move(socket.value());
    relay.setWeightsObserver([raw = monitor.get()] { raw->sendRequests(); });
    monitor->sendRequests();
    return monitor;
}

EngineMonitor::EngineMonitor(EventLoop::Loop &loop, const Http::Endpoint &address, RelayTask &relay, PeerRowSource &peers)
    : m_loop(loop)
    , m_address(address)
    , m_relay(relay)
    , m_peers(peers)
    , m_timer(loop, [this] { sendRequests(); })
{
}

void EngineMonitor::sendRequests()
{
    m_rolloutPlan.update(m_relay.fleet().weightsGoals());
    for (const auto &[id, server] : m_relay.fleet().servers().servers()) {
        auto agent = Http::Endpoint::parse(server.address);
        if (server.weights.empty() || !agent) {
            continue;
        }
        agent.value().address.sin_port = m_address.address.sin_port;
        m_socket->send(agent.value().address, watchRequest(id, server));
    }
    m_timer.startAt(m_loop.now() + requestInterval);
}

verbena::wire::Envelope EngineMonitor::watchRequest(const std::string &id, const Decisions::RegisteredServer &server) const
{
    verbena::wire::Envelope message;
    verbena::wire::EngineWatch &watch = *message.mutable_engine_watch();
    if (m_relay.fleet().namesPace(server.service)) {
        watch.set_pace_path(m_relay.healthPath(server.service));
    }
    for (const Decisions::ServedWeights &weights : server.weights) {
        for (const Decisions::AnnouncedSlot &announced : m_rolloutPlan.slots(weights.model, id, weights.version, m_loop.now())) {
            verbena::wire::WeightsTurn &entry = *watch.add_turns();
            entry.set_model(weights.model);
            entry.set_version(announced.version);
            entry.set_engines(announced.slot.engines);
            entry.set_before(announced.slot.position);
            entry.set_done(announced.slot.completed);
            entry.set_named_ago_us(announced.age.has_value() ? static_cast<std::uint64_t>(announced.age->count()) + 1 : 0);
        }
    }
    return message;
}

void EngineMonitor::handleReport(const verbena::wire::Envelope &message)
{
    if (message.has_engine_news() && message.engine_news().agent_ends()) {
        m_relay.fleet().handleAgentEnd(message.engine_news().address());
        m_relay.metrics().count("agents_ended_total");
    } else if (message.has_engine_news()) {
        const Core::TimePoint now = m_loop.now();
        std::vector<std::string> routers;
        for (const std::uint32_t router : message.engine_news().routers()) {
            Http::Endpoint peer;
            peer.address.sin_addr.s_addr = router;
            const std::string text = peer.toString();
            const std::string address = text.substr(0, text.rfind(':'));
            m_peers.peerTable().add(address, now);
            routers.push_back(address);
        }
        m_relay.recordRouters(routers);
        m_relay.fleet().updateStatus(message.engine_news().address(), statusOf(message.engine_news(), now), now);
    }
}

} // namespace Verbena::Relay
