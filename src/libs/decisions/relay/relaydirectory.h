#pragma once

#include "relayconfiguration.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief One version of the configuration, laid out for lookups; never changes.
class RelayDirectory
{
public:
    explicit RelayDirectory(RelayConfiguration configuration);

    RelayDirectory(const RelayDirectory &) = delete;
    RelayDirectory &operator=(const RelayDirectory &) = delete;

    std::uint64_t version() const;
    const RelayLimits &limits() const;

    /// \brief The route of \a host with the longest prefix that begins \a path, or nothing.
    const RelayRoute *route(std::string_view host, std::string_view path) const;

    /// \brief The organisation that holds \a key, or nothing.
    const RelayOrganisation *organisation(std::string_view key) const;

    /// \brief Whether callers need a key at all.
    bool hasOrganisations() const;

    /// \brief The service of \a route for a request that drew \a draw, evenly spread over all numbers.
    static const std::string &service(const RelayRoute &route, std::uint64_t draw);

    /// \brief The stores of kept KV cache.
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

    RelayConfiguration m_configuration;
    TextMap<TextMap<const RelayRoute *>> m_routes; ///< By host, then by prefix.
    TextMap<const RelayOrganisation *> m_organisations; ///< By key.
    std::vector<const RelayService *> m_cacheStores;
};

} // namespace Verbena::Decisions
