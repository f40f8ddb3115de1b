#include "membership.h"

#include <decisions/routing/declaredserver.h>

#include <algorithm>

namespace Verbena::Decisions {

Membership::Membership(const MembershipLimits &limits)
    : m_limits(limits)
{
}

void Membership::setSettings(const Settings::InForceSettings &settings)
{
    std::map<BackendServerId, Member> members;
    for (const auto &[name, declared] : settings.backendServers) {
        const BackendServerId id = backendServerId(name);
        const auto known = m_members.find(id);
        Member member = known == m_members.end() ? Member() : std::move(known->second);
        // Observations of the old endpoint do not apply to the new one.
        if (member.server.endpoint != declared.endpoint) {
            member = Member();
        }
        member.server = declaredServer(declared, settings);
        member.isDrained = declared.isDrained;
        member.server.state = stateOf(member);
        members.emplace(id, std::move(member));
    }
    m_members = std::move(members);
    ++m_version;
}

void Membership::setHostList(const std::vector<Store::HostEntry> &hosts, Core::TimePoint fetchedAt)
{
    if (m_listFetchedAt && fetchedAt < *m_listFetchedAt) {
        return;
    }
    std::map<BackendServerId, const Store::HostEntry *> entries;
    for (const Store::HostEntry &host : hosts) {
        const BackendServerId id = backendServerId(host.name);
        if (m_members.contains(id)) {
            entries.emplace(id, &host);
        }
    }
    if (entries.empty()) {
        return;
    }
    m_listFetchedAt = fetchedAt;
    for (auto &[id, member] : m_members) {
        const auto entry = entries.find(id);
        if (entry == entries.end()) {
            member.isListed = false;
        } else {
            applyEntry(member, *entry->second);
        }
        updateState(member);
    }
}

void Membership::recordReply(BackendServerId id, std::uint64_t incarnation, bool isLeaving, Core::TimePoint now)
{
    const auto found = m_members.find(id);
    if (found == m_members.end() || !updateIncarnation(found->second, incarnation, now)) {
        return;
    }
    Member &member = found->second;
    member.lastReply = now;
    member.isLeavingByReply = isLeaving;
    resetSuspicion(member);
    updateState(member);
}

void Membership::recordTimeout(BackendServerId id, Core::TimePoint now)
{
    const auto found = m_members.find(id);
    // Timeouts of requests that were in flight when the suspicion began carry no new information.
    if (found == m_members.end() || now < found->second.skipUntil) {
        return;
    }
    Member &member = found->second;
    ++member.timeouts;
    if (member.timeouts < m_limits.timeoutsBeforeSuspicion) {
        return;
    }
    // After the first suspicion, a single timeout starts the next one, because the server has not answered since.
    std::chrono::milliseconds duration = m_limits.initialSuspicion;
    for (std::uint32_t i = 0; i < member.suspicions && duration < m_limits.maximumSuspicion; ++i) {
        duration *= 2;
    }
    ++member.suspicions;
    member.skipUntil = now + std::min(duration, m_limits.maximumSuspicion);
}

std::vector<BackendServer> Membership::fleet() const
{
    std::vector<BackendServer> servers;
    servers.reserve(m_members.size());
    for (const auto &[id, member] : m_members) {
        servers.push_back(member.server);
    }
    return servers;
}

bool Membership::isSuspected(BackendServerId id, Core::TimePoint now) const
{
    const auto found = m_members.find(id);
    return found != m_members.end() && now < found->second.skipUntil;
}

std::vector<BackendServerId> Membership::suspected(Core::TimePoint now) const
{
    std::vector<BackendServerId> ids;
    for (const auto &[id, member] : m_members) {
        if (now < member.skipUntil) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::uint64_t Membership::incarnation(BackendServerId id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? 0 : found->second.incarnation;
}

std::uint64_t Membership::version() const
{
    return m_version;
}

BackendServerState Membership::stateOf(const Member &member) const
{
    if (member.wasListed && !member.isListed) {
        // The platform no longer lists the host, but it may still be finishing its requests.
        const bool isAnswering = member.lastReply && m_listFetchedAt && *member.lastReply > *m_listFetchedAt;
        return isAnswering ? BackendServerState::Leaving : BackendServerState::Dead;
    }
    const bool isLeaving = member.isDrained || member.isLeavingByReply || member.isLeavingByList;
    return isLeaving ? BackendServerState::Leaving : BackendServerState::Live;
}

void Membership::updateState(Member &member)
{
    const BackendServerState state = stateOf(member);
    if (state != member.server.state) {
        member.server.state = state;
        ++m_version;
    }
}

// Returns false for a late reply of a replaced agent. Past incarnations are ignored for a limited time only, because two replies in
// the wrong order must not exclude a live agent for good.
bool Membership::updateIncarnation(Member &member, std::uint64_t incarnation, Core::TimePoint now)
{
    if (incarnation == 0 || incarnation == member.incarnation) {
        return true;
    }
    std::erase_if(member.pastIncarnations, [now](const PastIncarnation &past) { return past.ignoredUntil <= now; });
    const auto isSame = [incarnation](const PastIncarnation &past) {
        return past.number == incarnation;
    };
    if (std::any_of(member.pastIncarnations.begin(), member.pastIncarnations.end(), isSame)) {
        return false;
    }
    if (member.incarnation != 0) {
        member.pastIncarnations.push_back({member.incarnation, now + m_limits.lateReplyPeriod});
    }
    member.incarnation = incarnation;
    return true;
}

void Membership::applyEntry(Member &member, const Store::HostEntry &entry)
{
    if (entry.incarnation < member.listedIncarnation) {
        return;
    }
    if (entry.incarnation > member.listedIncarnation && member.wasListed) {
        // Earlier observations were about the replaced host.
        member.isLeavingByReply = false;
        resetSuspicion(member);
    }
    member.listedIncarnation = entry.incarnation;
    member.isListed = true;
    member.wasListed = true;
    member.isLeavingByList = entry.isLeaving;
}

void Membership::resetSuspicion(Member &member)
{
    member.timeouts = 0;
    member.suspicions = 0;
    member.skipUntil = {};
}

} // namespace Verbena::Decisions
