#include "serverregister.h"

#include <algorithm>
#include <set>

namespace Verbena::Decisions {

namespace {

// Of one id; news of a start that was followed by more others than this are no longer on their way.
constexpr std::size_t rememberedIncarnations = 8;

} // namespace

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
    RegisteredServer &known = m_servers[server.id];
    const IncarnationNews news = compare(known, server.incarnation);
    if (news == IncarnationNews::Outdated) {
        return;
    }
    m_lapsed.erase(server.id);
    if (known == server) {
        return;
    }
    if (news == IncarnationNews::Restarted) {
        noteRestart(known, server.incarnation);
        known = server;
        return;
    }
    RegisteredServer taken = server;
    taken.incarnation = server.incarnation == 0 ? known.incarnation : server.incarnation;
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
    forget(id);
}

void ServerRegister::forget(const std::string &id)
{
    m_lapsed.erase(id);
    m_earlierIncarnations.erase(id);
    m_servers.erase(id);
    ++m_revision;
}

// Clocks jump, so a smaller number may be the later start: what was seen before tells.
IncarnationNews ServerRegister::compare(const RegisteredServer &known, std::uint64_t incarnation) const
{
    if (incarnation == 0 || known.incarnation == 0 || incarnation == known.incarnation) {
        return IncarnationNews::Same;
    }
    const auto earlier = m_earlierIncarnations.find(known.id);
    const bool isEarlier
        = earlier != m_earlierIncarnations.end() && std::find(earlier->second.begin(), earlier->second.end(), incarnation) != earlier->second.end();
    return isEarlier ? IncarnationNews::Outdated : IncarnationNews::Restarted;
}

void ServerRegister::noteRestart(RegisteredServer &known, std::uint64_t incarnation)
{
    std::vector<std::uint64_t> &earlier = m_earlierIncarnations[known.id];
    earlier.push_back(known.incarnation);
    if (earlier.size() > rememberedIncarnations) {
        earlier.erase(earlier.begin());
    }
    known.incarnation = incarnation;
    known.isLeaving = false;
    ++m_revision;
}

IncarnationNews ServerRegister::noteIncarnation(const std::string &id, std::uint64_t incarnation)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return IncarnationNews::Same;
    }
    RegisteredServer &known = found->second;
    const IncarnationNews news = compare(known, incarnation);
    if (news == IncarnationNews::Restarted) {
        noteRestart(known, incarnation);
    } else if (known.incarnation == 0 && incarnation != 0) {
        known.incarnation = incarnation;
        ++m_revision;
    }
    return news;
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
    if (m_servers.contains(id)) {
        forget(id);
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
        const std::string id = entry->first;
        ++entry;
        forget(id);
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
