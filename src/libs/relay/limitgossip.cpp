#include "limitgossip.h"

#include "requestreport.h"

#include <eventloop/loop.h>

namespace Verbena::Relay {

using Decisions::ServerLimitNews;
using std::chrono::milliseconds;

namespace {

// Period at which news are repeated, since datagrams may be lost.
constexpr milliseconds repeatInterval{500};

// With their ids, this many limits fit into one packet.
constexpr int limitsPerDatagram = 24;

// In larger fleets, a random part of the routers is told each time.
constexpr std::size_t maximumPeers = 256;

verbena::wire::ServerLimit encode(const ServerLimitNews &news)
{
    verbena::wire::ServerLimit limit;
    limit.set_server(news.serverId);
    limit.set_incarnation(news.incarnation);
    limit.set_per_second(news.perSecond.value_or(0));
    limit.set_is_ended(!news.perSecond.has_value());
    limit.set_age_ms(static_cast<std::uint32_t>(news.age.count()));
    return limit;
}

ServerLimitNews decode(const verbena::wire::ServerLimit &limit)
{
    const std::optional<double> perSecond = limit.is_ended() ? std::nullopt : std::optional(limit.per_second());
    return {limit.server(), limit.incarnation(), perSecond, milliseconds(limit.age_ms())};
}

} // namespace

Core::Result<std::unique_ptr<LimitGossip>> LimitGossip::create(EventLoop::Loop &loop, const Http::Endpoint &address, RelayTask &relay, std::uint64_t seed)
{
    std::unique_ptr<LimitGossip> gossip(new LimitGossip(loop, address, relay, seed));
    const auto handle = [raw = gossip.get()](const sockaddr_in &from, const verbena::wire::Envelope &message) {
        if (message.has_server_limits()) {
            raw->receive(Http::Endpoint{from}.ipAddress(), message.server_limits());
        }
    };
    auto socket = Wire::DatagramSocket::bind(loop, address.address, handle);
    if (!socket) {
        return socket.error();
    }
    gossip->m_socket = std::move(socket.value());
    return gossip;
}

LimitGossip::LimitGossip(EventLoop::Loop &loop, const Http::Endpoint &address, RelayTask &relay, std::uint64_t seed)
    : m_loop(loop)
    , m_address(address)
    , m_relay(relay)
    , m_random(seed)
    , m_timer(loop, [this] { tell(); })
{
    m_relay.fleet().limits().setObserver([this] { tell(); });
}

LimitGossip::~LimitGossip()
{
    m_relay.fleet().limits().setObserver({});
}

void LimitGossip::tell()
{
    const Core::TimePoint now = m_loop.now();
    Decisions::ServerLimits &limits = m_relay.fleet().limits();
    const std::size_t limitedCount = limits.limitedCount(now);
    m_relay.metrics().setGauge("servers_limited", static_cast<double>(limitedCount));
    verbena::wire::Envelope message;
    for (const ServerLimitNews &news : limits.newsToTell(now)) {
        *message.mutable_server_limits()->add_limits() = encode(news);
        if (message.server_limits().limits_size() == limitsPerDatagram) {
            send(message);
            message.Clear();
        }
    }
    if (message.has_server_limits()) {
        send(message);
    }
    if (limitedCount > 0 || message.has_server_limits()) {
        m_timer.startAt(now + repeatInterval);
    }
}

void LimitGossip::send(const verbena::wire::Envelope &message)
{
    for (const std::string &address : m_random.sample(m_relay.routerAddresses(), maximumPeers)) {
        if (const auto peer = m_address.atPeer(address)) {
            m_socket->send(peer->address, message);
        }
    }
}

void LimitGossip::receive(const std::string &peer, const verbena::wire::ServerLimits &limits)
{
    for (const verbena::wire::ServerLimit &limit : limits.limits()) {
        const ServerLimitNews news = decode(limit);
        if (m_relay.fleet().applyLimitNews(news, m_loop.now())) {
            reportLimit(news.serverId, news.perSecond, peer);
        }
    }
    if (!m_timer.isActive()) {
        m_timer.startAt(m_loop.now() + repeatInterval);
    }
}

} // namespace Verbena::Relay
