#pragma once

#include "agentlink.h"

#include <eventloop/deferredcall.h>
#include <settings/inforcesettings.h>

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Verbena::Router {

/// \brief The router's connections to agents: opened on first use, closed when idle, limited in number.
class AgentLinks
{
public:
    AgentLinks(EventLoop::Loop &loop, Wire::MessageContext &context, const LinkSettings &settings, AgentListener &listener);
    ~AgentLinks();

    /// \brief Sets the router's own CURVE keys; must be called before the first connection is opened.
    void setOwnKeys(const std::string &publicKey, const std::string &secretKey);

    /// \brief Updates the agents' keys and closes connections to backend servers that have moved or were removed.
    ///
    /// The connection to a removed server stays open while attempts run there.
    void setBackendServers(const std::map<std::string, Settings::BackendServerSettings> &servers);

    /// \brief Sets the CURVE key of one agent, which may not be in the settings yet.
    void setAgentKey(Decisions::BackendServerId id, const std::string &publicKey);

    /// \brief Returns the connection to \a server, opened if necessary. Errors: ResourceExhausted, InvalidArgument, Unavailable.
    Core::Result<AgentLink *> open(const Decisions::BackendServer &server);

    /// \brief Returns the connection to \a id, or null if there is none.
    AgentLink *find(Decisions::BackendServerId id) const;

    /// \brief Returns the backend servers whose connections are down.
    std::vector<Decisions::BackendServerId> unreachable() const;

    /// \brief Counts an attempt at \a id; a connection with attempts is not closed when idle.
    void addAttempt(Decisions::BackendServerId id);

    /// \brief Removes an attempt that addAttempt() counted.
    void removeAttempt(Decisions::BackendServerId id);

    /// \brief Returns the number of open connections.
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
