#include "softwareversions.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Longer than any stream lasts.
constexpr std::chrono::hours learntTime{24};

} // namespace

void SoftwareVersions::update(const ServerRegister &servers, Core::TimePoint now)
{
    if (m_revision != servers.revision()) {
        collect(servers);
    }
    for (const auto &[name, versions] : m_registered) {
        Service &service = m_services.try_emplace(name, Service{m_knownSince.value_or(now), {}}).first->second;
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
    Core::TimePoint since = known.knownSince;
    for (const auto &[other, lastSeen] : known.lastSeen) {
        since = other == version ? since : std::max(since, lastSeen);
    }
    return SoleSoftware{version, std::chrono::duration_cast<std::chrono::milliseconds>(now - since)};
}

void SoftwareVersions::learn(const std::set<ServiceSoftware> &recorded, Core::TimePoint now)
{
    m_knownSince = now - learntTime;
    for (auto &[name, service] : m_services) {
        service.knownSince = std::min(service.knownSince, *m_knownSince);
    }
    for (const ServiceSoftware &software : recorded) {
        Service &service = m_services.try_emplace(software.service, Service{*m_knownSince, {}}).first->second;
        service.lastSeen[software.version] = now;
    }
}

std::set<ServiceSoftware> SoftwareVersions::registered() const
{
    std::set<ServiceSoftware> all;
    for (const auto &[service, versions] : m_registered) {
        for (const std::string &version : versions) {
            all.insert({service, version});
        }
    }
    return all;
}

} // namespace Verbena::Decisions
