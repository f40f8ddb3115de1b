#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief Key of a prompt part in the cache of engines: a hash of its scope and its id.
enum class PartKey : std::uint64_t {};

/// \brief Returns the key of the part \a id in \a scope.
PartKey partKey(std::string_view scope, std::string_view id);

/// \brief A change in the cache of an engine.
struct PartEvent
{
    std::string scope;
    std::string id;
    std::uint32_t tokens = 0; ///< Number of tokens of the part that are cached now; caches evict a part piece by piece from its end.
};

/// \brief The prompt parts that an engine caches, reconstructed from its cache events.
///
/// Events come late and some are lost. A part whose eviction was lost would stay in the index for ever, so the index holds no more tokens than the engine can:
/// above that it evicts the parts that were updated least recently.
class PartIndex
{
public:
    /// \brief Applies the next event.
    void apply(const PartEvent &event);

    /// \brief Sets the number of tokens that the engine can cache to \a tokens.
    void setCapacity(std::uint64_t tokens);

    /// \brief Removes all parts, after a restart of the engine.
    void clear();

    /// \brief Returns a number that increases whenever parts() changes.
    std::uint64_t revision() const;

    /// \brief Returns whether most of the part \a key is assumed to be cached.
    bool contains(PartKey key) const;

    std::uint64_t capacity() const;

    /// \brief Returns the number of tokens of all parts that are assumed to be cached.
    std::uint64_t tokens() const;

    /// \brief Returns the parts of which most is assumed to be cached.
    std::vector<PartKey> parts() const;

private:
    struct Part
    {
        std::uint32_t tokens;
        std::uint32_t maximumTokens; ///< Maximum number of tokens of the part that were ever cached.
        std::list<PartKey>::iterator place;
    };

    static bool isMostlyCached(const Part &part);
    void erase(PartKey key);
    void trim();

    std::unordered_map<PartKey, Part> m_parts;
    std::list<PartKey> m_order; ///< Keys in the order of their last events, oldest first.
    std::uint64_t m_tokens = 0;
    std::uint64_t m_capacity = UINT64_MAX;
    std::uint64_t m_revision = 0;
};

} // namespace Verbena::Decisions
