#pragma once

#include "agentlink.h"

#include <eventloop/deferredcall.h>
#include <settings/inforcesettings.h>

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Verbena::Router {

/// \brief The router's connections to agents: opened when first used, closed when idle, bounded in number.
class AgentLinks
{
public:
    AgentLinks(EventLoop::Loop &loop, Wire::MessageContext &context, const LinkSettings &settings, AgentListener &listener);
    ~AgentLinks();

    /// \brief Sets the router's own CURVE keys, before the first connection.
    void setOwnKeys(const std::string &publicKey, const std::string &secretKey);

    /// \brief Takes the keys of agents, and closes connections to backend servers that are gone or have moved.
    void setBackendServers(const std::map<std::string, Settings::BackendServerSettings> &servers);

    /// \brief Takes the key of one agent that settings may not tell of yet.
    void setAgentKey(Decisions::BackendServerId id, const std::string &publicKey);

    /// \brief The connection to \a server, opened if need be. Errors: ResourceExhausted, InvalidArgument, Unavailable.
    Core::Result<AgentLink *> open(const Decisions::BackendServer &server);

    /// \brief The connection to \a id, or null if there is none.
    AgentLink *find(Decisions::BackendServerId id) const;

    /// \brief Backend servers whose agents cannot be reached at present.
    std::vector<Decisions::BackendServerId> unreachable() const;

    /// \brief Counts a running attempt at \a id; a connection with one is not closed.
    void addAttempt(Decisions::BackendServerId id);
    void removeAttempt(Decisions::BackendServerId id);

    std::size_t count() const;

private:
    struct Entry
    {
        std::unique_ptr<AgentLink> link;
        std::size_t attempts = 0;
    };

    void closeIdle();
    bool closeLeastRecentlyUsed();
    void close(std::unordered_map<Decisions::BackendServerId, Entry>::iterator entry);

    EventLoop::Loop &m_loop;
    Wire::MessageContext &m_context;
    LinkSettings m_settings;
    AgentListener &m_listener;
    Wire::SocketSecurity m_security;
    std::unordered_map<Decisions::BackendServerId, std::string> m_agentKeys;
    std::unordered_map<Decisions::BackendServerId, Entry> m_links;
    std::vector<std::unique_ptr<AgentLink>> m_closed;
    EventLoop::Timer m_idleTimer;
    EventLoop::DeferredCall m_removeClosed;
};

} // namespace Verbena::Router
