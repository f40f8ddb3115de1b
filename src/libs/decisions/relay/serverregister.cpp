#include "serverregister.h"

#include <algorithm>
#include <set>

namespace Verbena::Decisions {

void ServerRegister::replace(const std::vector<RegisteredServer> &servers, Core::TimePoint now)
{
    std::set<std::string> present;
    for (const RegisteredServer &server : servers) {
        present.insert(server.id);
        put(server);
    }
    std::vector<std::string> missing;
    for (const auto &[id, server] : m_servers) {
        if (!present.contains(id) && !m_lapsed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        remove(id, now);
    }
}

void ServerRegister::put(const RegisteredServer &server)
{
    m_lapsed.erase(server.id);
    RegisteredServer &known = m_servers[server.id];
    if (known == server) {
        return;
    }
    RegisteredServer taken = server;
    // An entry is written now and then; what the server answered meanwhile is newer, and weights only ever go up.
    for (ServedWeights &weights : taken.weights) {
        for (const ServedWeights &before : known.weights) {
            if (before.model == weights.model) {
                weights.version = std::max(weights.version, before.version);
            }
        }
    }
    taken.isLeaving = taken.isLeaving || known.isLeaving;
    if (known == taken) {
        return;
    }
    known = std::move(taken);
    ++m_revision;
}

void ServerRegister::remove(const std::string &id, Core::TimePoint now)
{
    if (!m_servers.contains(id)) {
        return;
    }
    if (isDoubtful(now)) {
        m_lapsed.emplace(id, m_isStoreLost ? Core::TimePoint::max() : m_lapseDeadline);
        return;
    }
    m_lapsed.erase(id);
    m_servers.erase(id);
    ++m_revision;
}

bool ServerRegister::isDoubtful(Core::TimePoint now) const
{
    return m_isStoreLost || now < m_lapseDeadline;
}

void ServerRegister::noteStoreLost()
{
    m_isStoreLost = true;
}

void ServerRegister::noteStoreRegained(Core::TimePoint lapseDeadline)
{
    m_isStoreLost = false;
    m_lapseDeadline = lapseDeadline;
    for (auto &[id, deadline] : m_lapsed) {
        deadline = std::min(deadline, lapseDeadline);
    }
}

void ServerRegister::noteWeights(const std::string &id, const std::string &model, std::uint64_t version)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    for (ServedWeights &weights : found->second.weights) {
        if (weights.model == model && weights.version < version) {
            weights.version = version;
            ++m_revision;
        }
    }
}

void ServerRegister::noteReplaced(const std::string &id)
{
    m_lapsed.erase(id);
    if (m_servers.erase(id) > 0) {
        ++m_revision;
    }
}

bool ServerRegister::expire(Core::TimePoint now)
{
    const std::uint64_t before = m_revision;
    for (auto entry = m_lapsed.begin(); entry != m_lapsed.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        m_servers.erase(entry->first);
        entry = m_lapsed.erase(entry);
        ++m_revision;
    }
    return m_revision != before;
}

const std::map<std::string, RegisteredServer> &ServerRegister::servers() const
{
    return m_servers;
}

std::uint64_t ServerRegister::revision() const
{
    return m_revision;
}

} // namespace Verbena::Decisions
