#include "serverregister.h"

#include <algorithm>
#include <set>

namespace Verbena::Decisions {

namespace {

// Number of earlier incarnations kept for each id; no messages of older ones are still in transit.
constexpr std::size_t maxEarlierIncarnations = 8;

// Many more than leave at a time; those that have ended are never asked for again.
constexpr std::size_t maxSaidLeaving = 4096;

} // namespace

void ServerRegister::replace(const std::vector<RegisteredServer> &servers, Core::TimePoint now)
{
    std::set<std::string> present;
    for (const RegisteredServer &server : servers) {
        present.insert(server.id);
        set(server);
    }
    std::vector<std::string> missing;
    for (const auto &[id, server] : m_servers) {
        if (!present.contains(id) && !m_missing.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        remove(id, now);
    }
}

void ServerRegister::set(const RegisteredServer &server)
{
    RegisteredServer &entry = m_servers[server.id];
    const IncarnationComparison comparison = compare(entry, server.incarnation);
    if (comparison == IncarnationComparison::Outdated) {
        return;
    }
    m_missing.erase(server.id);
    if (entry == server) {
        return;
    }
    if (comparison == IncarnationComparison::Restarted) {
        applyRestart(entry, server.incarnation);
        entry = server;
        applyEntryWeights(entry);
        return;
    }
    RegisteredServer updated = server;
    updated.incarnation = server.incarnation == 0 ? entry.incarnation : server.incarnation;
    applyEntryWeights(updated);
    updated.isLeaving = updated.isLeaving || entry.isLeaving || hasSaidLeaving(updated);
    if (entry == updated) {
        return;
    }
    entry = std::move(updated);
    ++m_revision;
}

void ServerRegister::applyEntryWeights(RegisteredServer &server)
{
    WeightsBelief &belief = m_weights[server.id];
    belief.applyEntry(server.weights, ++m_weightsNews);
    server.weights = belief.models();
}

// An entry may be removed and written again while its server leaves.
bool ServerRegister::hasSaidLeaving(const RegisteredServer &server) const
{
    const auto said = m_saidLeaving.find(server.id);
    return said != m_saidLeaving.end() && (said->second == 0 || server.incarnation == 0 || said->second == server.incarnation);
}

bool ServerRegister::markLeaving(const std::string &id)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return false;
    }
    if (m_saidLeaving.size() >= maxSaidLeaving && !m_saidLeaving.contains(id)) {
        m_saidLeaving.erase(m_saidLeaving.begin());
    }
    m_saidLeaving[id] = found->second.incarnation;
    if (found->second.isLeaving) {
        return false;
    }
    found->second.isLeaving = true;
    ++m_revision;
    return true;
}

void ServerRegister::remove(const std::string &id, Core::TimePoint now)
{
    if (!m_servers.contains(id)) {
        return;
    }
    if (mayHaveExpired(now)) {
        m_missing.emplace(id, m_isStoreLost ? Core::TimePoint::max() : m_graceDeadline);
        return;
    }
    removeEntry(id);
}

void ServerRegister::removeEntry(const std::string &id)
{
    m_missing.erase(id);
    m_earlierIncarnations.erase(id);
    m_weights.erase(id);
    m_servers.erase(id);
    ++m_revision;
}

// Clocks may jump, so a smaller number may belong to the later start; only the recorded incarnations decide.
IncarnationComparison ServerRegister::compare(const RegisteredServer &entry, std::uint64_t incarnation) const
{
    if (incarnation == 0 || entry.incarnation == 0 || incarnation == entry.incarnation) {
        return IncarnationComparison::Same;
    }
    const auto earlier = m_earlierIncarnations.find(entry.id);
    const bool isEarlier
        = earlier != m_earlierIncarnations.end() && std::find(earlier->second.begin(), earlier->second.end(), incarnation) != earlier->second.end();
    return isEarlier ? IncarnationComparison::Outdated : IncarnationComparison::Restarted;
}

void ServerRegister::applyRestart(RegisteredServer &entry, std::uint64_t incarnation)
{
    std::vector<std::uint64_t> &earlier = m_earlierIncarnations[entry.id];
    earlier.push_back(entry.incarnation);
    if (earlier.size() > maxEarlierIncarnations) {
        earlier.erase(earlier.begin());
    }
    entry.incarnation = incarnation;
    entry.isLeaving = false;
    m_saidLeaving.erase(entry.id);
    m_weights[entry.id].handleRestart();
    ++m_revision;
}

IncarnationComparison ServerRegister::updateIncarnation(const std::string &id, std::uint64_t incarnation)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return IncarnationComparison::Same;
    }
    RegisteredServer &entry = found->second;
    const IncarnationComparison comparison = compare(entry, incarnation);
    if (comparison == IncarnationComparison::Restarted) {
        applyRestart(entry, incarnation);
    } else if (entry.incarnation == 0 && incarnation != 0) {
        entry.incarnation = incarnation;
        ++m_revision;
    }
    return comparison;
}

void ServerRegister::restoreIncarnation(const std::string &id, std::uint64_t incarnation)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    std::erase(m_earlierIncarnations[id], incarnation);
    applyRestart(found->second, incarnation);
}

bool ServerRegister::mayHaveExpired(Core::TimePoint now) const
{
    return m_isStoreLost || now < m_graceDeadline;
}

void ServerRegister::markStoreLost()
{
    m_isStoreLost = true;
}

void ServerRegister::markStoreRegained(Core::TimePoint graceDeadline)
{
    m_isStoreLost = false;
    m_graceDeadline = graceDeadline;
    for (auto &[id, deadline] : m_missing) {
        deadline = std::min(deadline, graceDeadline);
    }
}

void ServerRegister::updateWeights(const std::string &id, const std::string &model, std::uint64_t version, const WeightsEvidence &evidence)
{
    const auto found = m_servers.find(id);
    const auto belief = m_weights.find(id);
    if (found != m_servers.end() && belief != m_weights.end() && belief->second.apply(model, version, evidence, ++m_weightsNews)) {
        found->second.weights = belief->second.models();
        ++m_revision;
    }
}

std::uint64_t ServerRegister::lastWeightsNews() const
{
    return m_weightsNews;
}

void ServerRegister::markReplaced(const std::string &id)
{
    if (m_servers.contains(id)) {
        removeEntry(id);
    }
}

bool ServerRegister::expire(Core::TimePoint now)
{
    const std::uint64_t before = m_revision;
    for (auto entry = m_missing.begin(); entry != m_missing.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        const std::string id = entry->first;
        ++entry;
        removeEntry(id);
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
