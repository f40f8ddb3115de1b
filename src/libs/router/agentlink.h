#pragma once

#include "routersettings.h"

#include <decisions/routing/backendserver.h>
#include <eventloop/timer.h>
#include <wire/messagesocket.h>

#include <memory>
#include <string>

namespace Verbena::Router {

/// \brief Receives messages from agents and changes of the connections to them.
class AgentListener
{
public:
    virtual ~AgentListener() = default;

    /// \brief Handles \a message from the agent of \a id.
    virtual void receiveFromAgent(Decisions::BackendServerId id, const verbena::wire::Envelope &message) = 0;

    /// \brief Handles that attempts can now be sent to the agent of \a id.
    virtual void agentReady(Decisions::BackendServerId id) = 0;

    /// \brief Handles the loss of the agent of \a id: it is silent, disconnected or restarted, so all messages sent to it so far may be lost.
    virtual void agentLost(Decisions::BackendServerId id) = 0;
};

/// \brief The connection to one agent: sends Hello messages until the agent answers with Welcome, and then as heartbeats.
class AgentLink : public Wire::MessageReceiver
{
public:
    enum class State {
        Connecting, ///< Waiting for Welcome within the connect timeout.
        Ready, ///< Attempts can be sent.
        Down, ///< No Welcome in time, or the agent was lost.
    };

    /// \brief Starts connecting to \a server. Errors: InvalidArgument, Unavailable.
    static Core::Result<std::unique_ptr<AgentLink>> connect(EventLoop::Loop &loop,
        Wire::MessageContext &context,
        const Decisions::BackendServer &server,
        const Wire::SocketSecurity &security,
        const LinkSettings &settings,
        AgentListener &listener);

    State state() const;
    const std::string &endpoint() const;

    /// \brief Returns the incarnation in the agent's last Welcome; 0 before the first.
    std::uint64_t incarnation() const;

    /// \brief Returns when a message was last sent with send(); initially the creation time.
    Core::TimePoint lastUsed() const;

    /// \brief Sends \a message without queueing it. Errors: Unavailable or ResourceExhausted; then no byte was sent.
    Core::Result<void> send(const verbena::wire::Envelope &message);

    /// \brief Sends a \a message that belongs to no request: as send(), but the connection can still become idle and be closed.
    Core::Result<void> sendBackground(const verbena::wire::Envelope &message);

    void receiveMessage(const std::string &peer, const verbena::wire::Envelope &message) override;
    void receiveInvalidMessage(const std::string &peer) override;
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
