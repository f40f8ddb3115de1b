#include "relaydirectory.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// Random values are mapped to this scale, which is fine enough for any weights that operators write.
constexpr std::uint64_t randomScale = 1'000'000;

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c); });
    return lower;
}

} // namespace

// A caller may resume a stream for as long as it would wait for a whole one.
std::chrono::milliseconds longestStream(const RelayRoute &route)
{
    return 2 * route.timeout;
}

RelayDirectory::RelayDirectory(RelayConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const RelayRoute &route : m_configuration.routes) {
        m_routes[lowerCase(route.host)][route.prefix] = &route;
        if (route.kind == RequestKind::Streaming && route.isResumable) {
            addResumable(route);
        }
    }
    for (const RelayOrganisation &organisation : m_configuration.organisations) {
        m_hasUsageCaps = m_hasUsageCaps || organisation.usageCap.has_value();
        for (const std::string &key : organisation.keys) {
            m_organisations[key] = &organisation;
        }
    }
    for (const RelayService &service : m_configuration.services) {
        if (!service.cacheStore.empty()) {
            m_cacheStores.push_back(&service);
        }
    }
}

void RelayDirectory::addResumable(const RelayRoute &route)
{
    m_longestStream = std::max(m_longestStream, Decisions::longestStream(route));
    for (const ServiceShare &share : route.services) {
        m_resumableServices.insert(share.service);
    }
}

bool RelayDirectory::hasResumableStreams(const std::string &service) const
{
    return m_resumableServices.contains(service);
}

std::chrono::milliseconds RelayDirectory::longestStream() const
{
    return m_longestStream;
}

std::uint64_t RelayDirectory::version() const
{
    return m_configuration.version;
}

const RelayLimits &RelayDirectory::limits() const
{
    return m_configuration.limits;
}

const RelayRoute *RelayDirectory::route(std::string_view host, std::string_view path) const
{
    const auto prefixes = m_routes.find(lowerCase(host.substr(0, host.find(':'))));
    if (prefixes == m_routes.end()) {
        return nullptr;
    }
    // A prefix ends with a slash, so only the slashes of the path can end a matching one.
    std::string_view prefix = path.substr(0, path.rfind('/') + 1);
    while (!prefix.empty()) {
        const auto found = prefixes->second.find(prefix);
        if (found != prefixes->second.end()) {
            return found->second;
        }
        prefix.remove_suffix(1);
        prefix = prefix.substr(0, prefix.rfind('/') + 1);
    }
    return nullptr;
}

const RelayOrganisation *RelayDirectory::organisation(std::string_view key) const
{
    const auto found = m_organisations.find(key);
    return found == m_organisations.end() ? nullptr : found->second;
}

bool RelayDirectory::hasOrganisations() const
{
    return !m_configuration.organisations.empty();
}

bool RelayDirectory::hasUsageCaps() const
{
    return m_hasUsageCaps;
}

const std::string &RelayDirectory::service(const RelayRoute &route, std::uint64_t randomValue)
{
    double total = 0;
    for (const ServiceShare &share : route.services) {
        total += share.weight;
    }
    double position = static_cast<double>(randomValue % randomScale) / static_cast<double>(randomScale) * total;
    for (const ServiceShare &share : route.services) {
        position -= share.weight;
        if (position < 0) {
            return share.service;
        }
    }
    return route.services.back().service;
}

std::string RelayDirectory::healthPath(const std::string &service) const
{
    const std::vector<RelayService> &services = m_configuration.services;
    const auto found = std::find_if(services.begin(), services.end(), [&service](const RelayService &one) { return one.name == service; });
    return found == services.end() ? "" : found->healthPath;
}

const std::vector<const RelayService *> &RelayDirectory::cacheStores() const
{
    return m_cacheStores;
}

} // namespace Verbena::Decisions
