#include "softwareversions.h"

#include <algorithm>

namespace Verbena::Decisions {

void SoftwareVersions::update(const ServerRegister &servers, Core::TimePoint now)
{
    if (m_revision != servers.revision()) {
        collect(servers);
    }
    for (const auto &[name, versions] : m_registered) {
        Service &service = m_services.try_emplace(name, Service{now, {}}).first->second;
        for (const std::string &version : versions) {
            service.lastSeen[version] = now;
        }
    }
}

void SoftwareVersions::collect(const ServerRegister &servers)
{
    m_revision = servers.revision();
    m_registered.clear();
    for (const auto &[id, server] : servers.servers()) {
        m_registered[server.service].insert(server.softwareVersion);
    }
}

std::optional<SoleSoftware> SoftwareVersions::sole(const std::string &service, Core::TimePoint now) const
{
    const auto registered = m_registered.find(service);
    if (registered == m_registered.end() || registered->second.size() != 1) {
        return std::nullopt;
    }
    const std::string &version = *registered->second.begin();
    const Service &known = m_services.at(service);
    Core::TimePoint since = known.firstSeen;
    for (const auto &[other, lastSeen] : known.lastSeen) {
        since = other == version ? since : std::max(since, lastSeen);
    }
    return SoleSoftware{version, std::chrono::duration_cast<std::chrono::milliseconds>(now - since)};
}

std::optional<std::string> SoftwareVersions::onlySeen(const std::string &service, std::chrono::milliseconds span, Core::TimePoint now) const
{
    const std::optional<SoleSoftware> only = sole(service, now);
    if (!only.has_value()) {
        return std::nullopt;
    }
    const Service &known = m_services.at(service);
    const bool isOtherSeen
        = std::any_of(known.lastSeen.begin(), known.lastSeen.end(), [&](const auto &seen) { return seen.first != only->version && now < seen.second + span; });
    return isOtherSeen ? std::nullopt : std::optional(only->version);
}

} // namespace Verbena::Decisions
