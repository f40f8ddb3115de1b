#include "agentlinks.h"

#include <eventloop/loop.h>

namespace Verbena::Router {

namespace {

constexpr int checksPerIdleTimeout = 4;

} // namespace

AgentLinks::AgentLinks(EventLoop::Loop &loop, Wire::MessageContext &context, const LinkSettings &settings, AgentListener &listener)
    : m_loop(loop)
    , m_context(context)
    , m_settings(settings)
    , m_listener(listener)
    , m_idleTimer(loop, [this] { closeIdle(); })
    , m_removeClosed(loop, [this] { m_closed.clear(); })
{
    m_idleTimer.startAt(loop.now() + settings.idleTimeout / checksPerIdleTimeout);
}

AgentLinks::~AgentLinks() = default;

void AgentLinks::setOwnKeys(const std::string &publicKey, const std::string &secretKey)
{
    m_security.ownPublicKey = publicKey;
    m_security.ownSecretKey = secretKey;
}

void AgentLinks::setBackendServers(const std::map<std::string, Settings::BackendServerSettings> &servers)
{
    m_agentKeys.clear();
    std::unordered_map<Decisions::BackendServerId, std::string> endpoints;
    for (const auto &[name, server] : servers) {
        const Decisions::BackendServerId id = Decisions::backendServerId(name);
        m_agentKeys[id] = server.agentPublicKey;
        endpoints[id] = server.endpoint;
    }
    for (auto entry = m_links.begin(); entry != m_links.end();) {
        const auto current = entry++;
        const auto endpoint = endpoints.find(current->first);
        // A server that was removed from the settings keeps its connection for the attempts that still run there.
        const bool isMoved = endpoint != endpoints.end() && endpoint->second != current->second.link->endpoint();
        if (isMoved || (endpoint == endpoints.end() && current->second.attempts == 0)) {
            close(current);
        }
    }
}

void AgentLinks::setAgentKey(Decisions::BackendServerId id, const std::string &publicKey)
{
    m_agentKeys[id] = publicKey;
}

Core::Result<AgentLink *> AgentLinks::open(const Decisions::BackendServer &server)
{
    if (AgentLink *link = find(server.id)) {
        return link;
    }
    if (m_links.size() >= m_settings.maximumOpen && !closeLeastRecentlyUsed()) {
        return Core::Error{Core::ErrorCode::ResourceExhausted, "router.link", server.endpoint, "All connections to agents are in use."};
    }
    Wire::SocketSecurity security = m_security;
    const auto key = m_agentKeys.find(server.id);
    security.serverPublicKey = key == m_agentKeys.end() ? std::string() : key->second;
    VERBENA_TRY(link, AgentLink::connect(m_loop, m_context, server, security, m_settings, m_listener));
    Entry &entry = m_links[server.id];
    entry.link = std::move(link);
    return entry.link.get();
}

AgentLink *AgentLinks::find(Decisions::BackendServerId id) const
{
    const auto found = m_links.find(id);
    return found == m_links.end() ? nullptr : found->second.link.get();
}

std::vector<Decisions::BackendServerId> AgentLinks::unreachable() const
{
    std::vector<Decisions::BackendServerId> result;
    for (const auto &[id, entry] : m_links) {
        if (entry.link->state() == AgentLink::State::Down) {
            result.push_back(id);
        }
    }
    return result;
}

void AgentLinks::addAttempt(Decisions::BackendServerId id)
{
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
        ++found->second.attempts;
    }
}

void AgentLinks::removeAttempt(Decisions::BackendServerId id)
{
    const auto found = m_links.find(id);
    if (found != m_links.end() && found->second.attempts > 0) {
        --found->second.attempts;
    }
}

std::size_t AgentLinks::count() const
{
    return m_links.size();
}

void AgentLinks::closeIdle()
{
    const Core::TimePoint idleSince = m_loop.now() - m_settings.idleTimeout;
    for (auto entry = m_links.begin(); entry != m_links.end();) {
        const auto current = entry++;
        if (current->second.attempts == 0 && current->second.link->lastUsed() <= idleSince) {
            close(current);
        }
    }
    m_idleTimer.startAt(m_loop.now() + m_settings.idleTimeout / checksPerIdleTimeout);
}

bool AgentLinks::closeLeastRecentlyUsed()
{
    auto oldest = m_links.end();
    for (auto entry = m_links.begin(); entry != m_links.end(); ++entry) {
        const bool isOlder = oldest == m_links.end() || entry->second.link->lastUsed() < oldest->second.link->lastUsed();
        if (entry->second.attempts == 0 && isOlder) {
            oldest = entry;
        }
    }
    if (oldest == m_links.end()) {
        return false;
    }
    close(oldest);
    return true;
}

// May be called from within a member function of the link, so the link is only removed here and destroyed later.
void AgentLinks::close(std::unordered_map<Decisions::BackendServerId, Entry>::iterator entry)
{
    const Decisions::BackendServerId id = entry->first;
    const bool hadAttempts = entry->second.attempts > 0;
    m_closed.push_back(std::move(entry->second.link));
    m_links.erase(entry);
    m_removeClosed.schedule();
    if (hadAttempts) {
        m_listener.agentLost(id);
    }
}

} // namespace Verbena::Router
