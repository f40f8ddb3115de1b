#pragma once

#include "relayconfiguration.h"

#include <chrono>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief Returns the longest time for which a stream of \a route may be resumed after it began.
std::chrono::milliseconds longestStream(const RelayRoute &route);

/// \brief One version of the configuration, immutable and indexed for lookups.
class RelayDirectory
{
public:
    explicit RelayDirectory(RelayConfiguration configuration);

    RelayDirectory(const RelayDirectory &) = delete;
    RelayDirectory &operator=(const RelayDirectory &) = delete;

    std::uint64_t version() const;
    const RelayLimits &limits() const;

    /// \brief Returns the route of \a host with the longest prefix that begins \a path, or null.
    const RelayRoute *route(std::string_view host, std::string_view path) const;

    /// \brief Returns the organisation that holds \a key, or null.
    const RelayOrganisation *organisation(std::string_view key) const;

    /// \brief Returns whether callers need a key.
    bool hasOrganisations() const;

    /// \brief Returns whether any organisation has a usage cap, so that organisations compete for a capacity that does not suffice for all.
    bool hasUsageCaps() const;

    /// \brief Returns whether a route with streams that may be resumed leads to \a service.
    bool hasResumableStreams(const std::string &service) const;

    /// \brief Returns the longest time for which a stream of any route may be resumed after it began; 0 if none may.
    std::chrono::milliseconds longestStream() const;

    /// \brief Returns the service of \a route for a request with \a randomValue, uniformly distributed over all numbers.
    static const std::string &service(const RelayRoute &route, std::uint64_t randomValue);

    /// \brief Returns the path of the health check of \a service; empty if it is not known.
    std::string healthPath(const std::string &service) const;

    /// \brief Returns the services that are stores of saved KV cache.
    const std::vector<const RelayService *> &cacheStores() const;

private:
    struct TextHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };
    template<typename Value>
    using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

    void addResumable(const RelayRoute &route);

    RelayConfiguration m_configuration;
    TextMap<TextMap<const RelayRoute *>> m_routes; ///< Routes by host, then by prefix.
    TextMap<const RelayOrganisation *> m_organisations; ///< Organisations by key.
    std::vector<const RelayService *> m_cacheStores;
    std::set<std::string> m_resumableServices; ///< Services with streams that may be resumed.
    std::chrono::milliseconds m_longestStream{0};
    bool m_hasUsageCaps = false;
};

} // namespace Verbena::Decisions
