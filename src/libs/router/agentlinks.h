#pragma once

#include <decisions/routing/backendserver.h>
#include <wire/messagesocket.h>

#include <memory>
#include <unordered_map>

namespace Verbena::Router {

/// \brief Takes what agents send.
class AgentListener
{
public:
    virtual ~AgentListener() = default;
    virtual void receiveFromAgent(Decisions::BackendServerId id, const verbena::wire::Envelope &message) = 0;
};

/// \brief The router's connections to agents, opened when first used.
class AgentLinks
{
public:
    AgentLinks(EventLoop::Loop &loop, Wire::MessageContext &context, AgentListener &listener);
    ~AgentLinks();

    /// \brief Sends to the agent of \a server. Errors: Unavailable, if no byte was sent.
    Core::Result<void> send(const Decisions::BackendServer &server, const verbena::wire::Envelope &message);

    /// \brief Opens the connection to \a server, so that a later send finds it ready.
    Core::Result<void> open(const Decisions::BackendServer &server);

private:
    class Link;

    EventLoop::Loop &m_loop;
    Wire::MessageContext &m_context;
    AgentListener &m_listener;
    std::unordered_map<Decisions::BackendServerId, std::unique_ptr<Link>> m_links;
};

} // namespace Verbena::Router
