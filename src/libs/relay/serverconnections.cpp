#include "serverconnections.h"

#include "relayevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>
#include <observe/metrics.h>

namespace Verbena::Relay {

using Decisions::ServerInstance;
using std::chrono::milliseconds;

namespace {

std::string_view reasonName(DropReason reason)
{
    switch (reason) {
    case DropReason::Expired:
        return "expired";
    case DropReason::Excess:
        return "excess";
    case DropReason::ServerClosed:
        return "closed";
    case DropReason::StrayBytes:
        return "stray_bytes";
    case DropReason::ServerChanged:
        return "changed";
    case DropReason::CallFailed:
        return "call_failed";
    }
    return "";
}

} // namespace

/// \brief An idle connection; nothing may arrive on it but its end.
class ServerConnections::IdleConnection : private Http::ChannelObserver
{
public:
    IdleConnection(ServerConnections &owner, Decisions::KeptConnections::Number number, std::string address, std::unique_ptr<Http::TcpChannel> channel)
        : m_owner(owner)
        , m_number(number)
        , m_address(std::move(address))
        , m_channel(std::move(channel))
    {
        m_channel->handOver(*this);
    }

    std::unique_ptr<Http::TcpChannel> takeChannel()
    {
        return std::move(m_channel);
    }

private:
    // Passes a copy of the address, as this object is destroyed with the other connections to it.
    void receiveBytes(std::string_view data) override
    {
        m_owner.handleStrayBytes(std::string(m_address), data.size());
    }

    void receiveEnd(Http::ChannelEnd) override
    {
        m_owner.handleClosed(m_number);
    }

    ServerConnections &m_owner;
    Decisions::KeptConnections::Number m_number;
    std::string m_address;
    std::unique_ptr<Http::TcpChannel> m_channel;
};

ServerConnections::ServerConnections(
    EventLoop::Loop &loop, const Decisions::ServerRegister &servers, Observe::Metrics &metrics, const Decisions::KeptConnectionLimits &limits)
    : m_loop(loop)
    , m_servers(servers)
    , m_metrics(metrics)
    , m_kept(limits)
    , m_timer(loop, [this] { dropExpired(); })
{
}

ServerConnections::~ServerConnections() = default;

std::unique_ptr<BackendCall> ServerConnections::reuse(
    const ServerInstance &server, const Decisions::KeptConnectionUse &use, const Http::OutgoingMessage &request, CallObserver &observer)
{
    dropChanged();
    const Core::TimePoint now = m_loop.now();
    while (const auto number = m_kept.take(server, use, now)) {
        auto channel = m_idle.extract(*number).mapped()->takeChannel();
        auto call = BackendCall::reuse(m_loop, std::move(channel), request, now + BackendCall::acknowledgeTimeout, observer);
        if (call != nullptr) {
            m_metrics.count("server_connections_reused_total");
            return call;
        }
        countDropped(DropReason::ServerClosed, 1);
    }
    return nullptr;
}

void ServerConnections::keep(const ServerInstance &server, BackendCall &call)
{
    auto channel = call.releaseChannel();
    const Core::TimePoint now = m_loop.now();
    const Core::TimePoint deadline = Decisions::KeptConnections::usableUntil(call.idleTimeout(), now);
    if (channel == nullptr || deadline <= now) {
        return;
    }
    const auto number = m_kept.keep(server, deadline);
    m_idle.emplace(number, std::make_unique<IdleConnection>(*this, number, server.address, std::move(channel)));
    close(m_kept.removeExcess(server.address), DropReason::Excess);
    dropChanged();
    startTimer();
}

void ServerConnections::drop(const std::string &address, DropReason reason)
{
    close(m_kept.removeAddress(address), reason);
}

bool ServerConnections::hasIdle(const std::string &address, Core::TimePoint now) const
{
    return m_kept.hasIdle(address, now);
}

std::size_t ServerConnections::count() const
{
    return m_kept.count();
}

// A server that does this once may do it again, on any of its connections.
void ServerConnections::handleStrayBytes(const std::string &address, std::size_t count)
{
    Observe::log(strayBytesReceived, {{"server", address}, {"bytes", std::to_string(count)}});
    drop(address, DropReason::StrayBytes);
}

void ServerConnections::handleClosed(Decisions::KeptConnections::Number number)
{
    m_kept.remove(number);
    close({number}, DropReason::ServerClosed);
}

void ServerConnections::close(const std::vector<Decisions::KeptConnections::Number> &numbers, DropReason reason)
{
    for (const auto number : numbers) {
        m_idle.erase(number);
    }
    countDropped(reason, numbers.size());
}

void ServerConnections::countDropped(DropReason reason, std::size_t count)
{
    if (count > 0) {
        m_metrics.count("server_connections_dropped_" + std::string(reasonName(reason)) + "_total", count);
    }
}

// Nothing is chosen that has left or restarted, so its connections would only be kept for nothing.
void ServerConnections::dropChanged()
{
    if (m_servers.revision() == m_seenRevision) {
        return;
    }
    m_seenRevision = m_servers.revision();
    const auto isServing = [this](const ServerInstance &server) {
        const auto entry = m_servers.servers().find(server.id);
        return entry != m_servers.servers().end() && !entry->second.isLeaving && entry->second.address == server.address
            && entry->second.incarnation == server.incarnation;
    };
    close(m_kept.removeUnless(isServing), DropReason::ServerChanged);
}

void ServerConnections::dropExpired()
{
    close(m_kept.removeExpired(m_loop.now()), DropReason::Expired);
    startTimer();
}

void ServerConnections::startTimer()
{
    if (const auto deadline = m_kept.nextDeadline()) {
        m_timer.startAt(*deadline);
    }
}

} // namespace Verbena::Relay
