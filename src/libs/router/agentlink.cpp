#include "agentlink.h"

#include "routerevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>

namespace Verbena::Router {

namespace {

// A socket that is not connected yet rejects messages at no cost, so Hello is repeated often until the first Welcome.
constexpr std::chrono::milliseconds connectingHelloInterval{5};
constexpr std::chrono::milliseconds downHelloInterval{100};

} // namespace

Core::Result<std::unique_ptr<AgentLink>> AgentLink::connect(EventLoop::Loop &loop,
    Wire::MessageContext &context,
    const Decisions::BackendServer &server,
    const Wire::SocketSecurity &security,
    const LinkSettings &settings,
    AgentListener &listener)
{
    std::unique_ptr<AgentLink> link(new AgentLink(loop, server, settings, listener));
    VERBENA_TRY(opened, Wire::MessageSocket::connect(loop, context, server.endpoint, security, *link));
    link->m_socket = std::move(opened);
    link->onTimer();
    return link;
}

AgentLink::AgentLink(EventLoop::Loop &loop, const Decisions::BackendServer &server, const LinkSettings &settings, AgentListener &listener)
    : m_loop(loop)
    , m_id(server.id)
    , m_name(server.name)
    , m_endpoint(server.endpoint)
    , m_settings(settings)
    , m_listener(listener)
    , m_timer(loop, [this] { onTimer(); })
    , m_connectDeadline(loop.now() + settings.connectTimeout)
    , m_lastUsed(loop.now())
{
}

AgentLink::State AgentLink::state() const
{
    return m_state;
}

const std::string &AgentLink::endpoint() const
{
    return m_endpoint;
}

std::uint64_t AgentLink::incarnation() const
{
    return m_incarnation;
}

Core::TimePoint AgentLink::lastUsed() const
{
    return m_lastUsed;
}

Core::Result<void> AgentLink::send(const verbena::wire::Envelope &message)
{
    m_lastUsed = m_loop.now();
    return m_socket->send({}, message);
}

Core::Result<void> AgentLink::sendBackground(const verbena::wire::Envelope &message)
{
    return m_socket->send({}, message);
}

void AgentLink::onTimer()
{
    const Core::TimePoint now = m_loop.now();
    if (m_state == State::Ready && now >= m_silenceDeadline) {
        markLost("silent");
    } else if (m_state == State::Connecting && now >= m_connectDeadline) {
        m_state = State::Down;
    }
    sendHello();
    const std::chrono::microseconds interval = m_state == State::Ready ? m_settings.heartbeatInterval
        : m_state == State::Connecting                                 ? connectingHelloInterval
                                                                       : downHelloInterval;
    m_timer.startAt(now + interval);
}

void AgentLink::sendHello()
{
    verbena::wire::Envelope envelope;
    envelope.mutable_hello();
    // A Hello that cannot be sent now is repeated by the timer.
    static_cast<void>(m_socket->send({}, envelope));
}

void AgentLink::receiveMessage(const std::string &, const verbena::wire::Envelope &message)
{
    m_silenceDeadline = m_loop.now() + m_settings.heartbeatTimeout;
    if (message.has_welcome()) {
        receiveWelcome(message.welcome());
    }
    if (m_state == State::Ready) {
        m_listener.receiveFromAgent(m_id, message);
    }
}

void AgentLink::receiveWelcome(const verbena::wire::Welcome &welcome)
{
    if (welcome.name() != m_name) {
        if (m_state != State::Down) {
            Observe::log(agentMisnamed, {{"backend_server", m_name}, {"answered_by", welcome.name()}, {"peer", m_endpoint}});
            markLost("misnamed");
        }
        return;
    }
    if (m_state == State::Ready && welcome.incarnation() != m_incarnation) {
        markLost("new incarnation");
    }
    m_incarnation = welcome.incarnation();
    if (m_state != State::Ready) {
        markReady();
    }
}

void AgentLink::receiveInvalidMessage(const std::string &)
{
    Observe::log(garbageFromAgent, {{"backend_server", m_name}, {"peer", m_endpoint}});
}

void AgentLink::connectionChanged(Wire::ConnectionChange change, const std::string &)
{
    if (change == Wire::ConnectionChange::Ready) {
        sendHello();
    } else if (m_state == State::Ready) {
        markLost("disconnected");
    }
}

void AgentLink::markReady()
{
    m_state = State::Ready;
    Observe::log(agentReached, {{"backend_server", m_name}, {"peer", m_endpoint}});
    m_timer.startAt(m_loop.now() + m_settings.heartbeatInterval);
    m_listener.agentReady(m_id);
}

void AgentLink::markLost(const char *reason)
{
    m_state = State::Down;
    Observe::log(agentLost, {{"backend_server", m_name}, {"peer", m_endpoint}, {"reason", reason}});
    m_timer.startAt(m_loop.now() + connectingHelloInterval);
    m_listener.agentLost(m_id);
}

} // namespace Verbena::Router
