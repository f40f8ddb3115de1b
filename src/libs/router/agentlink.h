#pragma once

#include "routersettings.h"

#include <decisions/routing/backendserver.h>
#include <eventloop/timer.h>
#include <wire/messagesocket.h>

#include <memory>
#include <string>

namespace Verbena::Router {

/// \brief Takes what agents send, and what becomes of the connections to them.
class AgentListener
{
public:
    virtual ~AgentListener() = default;

    virtual void receiveFromAgent(Decisions::BackendServerId id, const verbena::wire::Envelope &message) = 0;

    /// \brief Attempts can be sent to the agent now.
    virtual void agentReady(Decisions::BackendServerId id) = 0;

    /// \brief Whatever was sent to the agent so far may have come to nothing: it is silent, cut off or a new incarnation.
    virtual void agentLost(Decisions::BackendServerId id) = 0;
};

/// \brief The connection to one agent: says Hello until the agent welcomes it, and again as a heartbeat.
class AgentLink : public Wire::MessageReceiver
{
public:
    enum class State {
        Connecting, ///< Not welcomed yet, and not for long.
        Ready,
        Down, ///< Not welcomed in time, or silent.
    };

    /// \brief Begins to connect. Errors: InvalidArgument, Unavailable.
    static Core::Result<std::unique_ptr<AgentLink>> connect(EventLoop::Loop &loop,
        Wire::MessageContext &context,
        const Decisions::BackendServer &server,
        const Wire::SocketSecurity &security,
        const LinkSettings &settings,
        AgentListener &listener);

    State state() const;
    const std::string &endpoint() const;

    /// \brief The incarnation that the agent welcomed with.
    std::uint64_t incarnation() const;

    /// \brief When something was last sent for a request.
    Core::TimePoint lastUsed() const;

    /// \brief Sends at once. Errors: Unavailable or ResourceExhausted; then no byte was sent.
    Core::Result<void> send(const verbena::wire::Envelope &message);

    /// \brief The same for what has nothing to do with a request: it does not keep the connection open.
    Core::Result<void> sendBackground(const verbena::wire::Envelope &message);

    void receiveMessage(const std::string &peer, const verbena::wire::Envelope &message) override;
    void receiveGarbage(const std::string &peer) override;
    void connectionChanged(Wire::ConnectionChange change, const std::string &address) override;

private:
    AgentLink(EventLoop::Loop &loop, const Decisions::BackendServer &server, const LinkSettings &settings, AgentListener &listener);
    void onTimer();
    void sendHello();
    void receiveWelcome(const verbena::wire::Welcome &welcome);
    void markReady();
    void markLost(const char *reason);

    EventLoop::Loop &m_loop;
    Decisions::BackendServerId m_id;
    std::string m_name;
    std::string m_endpoint;
    LinkSettings m_settings;
    AgentListener &m_listener;
    EventLoop::Timer m_timer;
    std::unique_ptr<Wire::MessageSocket> m_socket;
    State m_state = State::Connecting;
    std::uint64_t m_incarnation = 0;
    Core::TimePoint m_connectDeadline;
    Core::TimePoint m_silenceDeadline;
    Core::TimePoint m_lastUsed;
};

} // namespace Verbena::Router
