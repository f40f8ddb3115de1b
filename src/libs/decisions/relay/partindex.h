#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief Names a part of a prompt in the cache of engines: a hash of its scope and its id.
enum class PartKey : std::uint64_t {};

/// \brief The key of the part \a id in \a scope.
PartKey partKey(std::string_view scope, std::string_view id);

/// \brief What changed in an engine's cache.
struct PartEvent
{
    std::string scope;
    std::string id;
    std::uint32_t tokens = 0; ///< Of the part, that are kept now; caches drop a part piece by piece from its end.
};

/// \brief Which parts of prompts an engine keeps, by its events.
///
/// Events come late and some never come. A part whose end was not told of would be believed for ever, so the index holds no more tokens than the engine
/// can: beyond that the parts that were heard of longest ago go.
class PartIndex
{
public:
    /// \brief Takes the next event.
    void take(const PartEvent &event);

    /// \brief The engine holds \a tokens at most.
    void setCapacity(std::uint64_t tokens);

    /// \brief Forgets all: the engine was restarted.
    void clear();

    /// \brief Goes up whenever parts() gives something else.
    std::uint64_t revision() const;

    /// \brief Whether most of the part is believed to be kept.
    bool contains(PartKey key) const;

    std::uint64_t capacity() const;

    /// \brief Tokens of all parts that are believed to be kept.
    std::uint64_t tokens() const;

    /// \brief The parts of which most is believed to be kept.
    std::vector<PartKey> parts() const;

private:
    struct Part
    {
        std::uint32_t tokens;
        std::uint32_t whole; ///< Most tokens of it that were ever kept.
        std::list<PartKey>::iterator place;
    };

    static bool isMostlyKept(const Part &part);
    void drop(PartKey key);
    void trim();

    std::unordered_map<PartKey, Part> m_parts;
    std::list<PartKey> m_order; ///< The one that was heard of longest ago first.
    std::uint64_t m_tokens = 0;
    std::uint64_t m_capacity = UINT64_MAX;
    std::uint64_t m_revision = 0;
};

} // namespace Verbena::Decisions
