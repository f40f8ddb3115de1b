#include "enginewatch.h"

#include <eventloop/loop.h>

namespace Verbena::Relay {

namespace {

// Well within the time for which agents remember who asked.
constexpr std::chrono::milliseconds askPeriod{1200};

Decisions::EngineStatus statusOf(const verbena::wire::EngineNews &news, Core::TimePoint now)
{
    Decisions::EngineStatus status;
    status.incarnation = news.incarnation();
    for (const verbena::wire::EngineWeights &weights : news.weights()) {
        status.weights.push_back({weights.model(), weights.version()});
    }
    status.isSilent = news.silent();
    status.isLoading = news.loading();
    if (news.load_in_us() > 0) {
        status.loadTime = now + std::chrono::microseconds(news.load_in_us() - 1);
    }
    status.running = news.running();
    status.waiting = news.waiting();
    status.usedTokens = news.used_tokens();
    status.totalTokens = news.total_tokens();
    if (news.has_parts()) {
        status.parts.emplace();
        for (const std::uint64_t part : news.parts()) {
            status.parts->push_back(Decisions::PartKey(part));
        }
    }
    return status;
}

} // namespace

Core::Result<std::unique_ptr<EngineWatch>> EngineWatch::create(EventLoop::Loop &loop, const Http::Endpoint &address, RelayTask &relay, PeerRows &peers)
{
    std::unique_ptr<EngineWatch> watch(new EngineWatch(loop, address, relay, peers));
    auto socket = Wire::DatagramSocket::bind(
        loop, address.address, [raw = watch.get()](const sockaddr_in &, const verbena::wire::Envelope &message) { raw->take(message); });
    if (!socket) {
        return socket.error();
    }
    watch->m_socket = std::move(socket.value());
    relay.setWeightsObserver([raw = watch.get()] { raw->ask(); });
    watch->ask();
    return watch;
}

EngineWatch::EngineWatch(EventLoop::Loop &loop, const Http::Endpoint &address, RelayTask &relay, PeerRows &peers)
    : m_loop(loop)
    , m_address(address)
    , m_relay(relay)
    , m_peers(peers)
    , m_timer(loop, [this] { ask(); })
{
}

void EngineWatch::ask()
{
    m_turns.update(m_relay.fleet().weightsGoals());
    for (const auto &[id, server] : m_relay.fleet().servers().servers()) {
        auto agent = Http::Endpoint::parse(server.address);
        if (server.weights.empty() || !agent) {
            continue;
        }
        agent.value().address.sin_port = m_address.address.sin_port;
        m_socket->send(agent.value().address, question(id, server));
    }
    m_timer.startAt(m_loop.now() + askPeriod);
}

verbena::wire::Envelope EngineWatch::question(const std::string &id, const Decisions::RegisteredServer &server) const
{
    verbena::wire::Envelope message;
    verbena::wire::EngineWatch &watch = *message.mutable_engine_watch();
    for (const Decisions::ServedWeights &weights : server.weights) {
        for (const Decisions::AnnouncedSlot &told : m_turns.slots(weights.model, id, weights.version, m_loop.now())) {
            verbena::wire::WeightsTurn &entry = *watch.add_turns();
            entry.set_model(weights.model);
            entry.set_version(told.version);
            entry.set_engines(told.slot.engines);
            entry.set_before(told.slot.position);
            entry.set_done(told.slot.completed);
            entry.set_named_ago_us(told.age.has_value() ? static_cast<std::uint64_t>(told.age->count()) + 1 : 0);
        }
    }
    return message;
}

void EngineWatch::take(const verbena::wire::Envelope &message)
{
    if (message.has_engine_news()) {
        const Core::TimePoint now = m_loop.now();
        std::vector<std::string> routers;
        for (const std::uint32_t router : message.engine_news().routers()) {
            Http::Endpoint peer;
            peer.address.sin_addr.s_addr = router;
            const std::string text = peer.toString();
            const std::string address = text.substr(0, text.rfind(':'));
            m_peers.book().note(address, now);
            routers.push_back(address);
        }
        m_relay.recordRouters(routers);
        m_relay.fleet().updateStatus(message.engine_news().address(), statusOf(message.engine_news(), now), now);
    }
}

} // namespace Verbena::Relay
