#include "partindex.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// The missing end of a part has to be computed again, so below this fraction the part counts as evicted.
constexpr double cachedFraction = 0.7;

} // namespace

PartKey partKey(std::string_view scope, std::string_view id)
{
    const std::uint64_t scopeHash = XXH3_64bits(scope.data(), scope.size());
    return PartKey(XXH3_64bits_withSeed(id.data(), id.size(), scopeHash));
}

void PartIndex::apply(const PartEvent &event)
{
    const PartKey key = partKey(event.scope, event.id);
    const auto existing = m_parts.find(key);
    const std::uint32_t maximumTokens = existing == m_parts.end() ? event.tokens : std::max(existing->second.maximumTokens, event.tokens);
    const bool wasCached = contains(key);
    erase(key);
    if (event.tokens > 0) {
        m_order.push_back(key);
        m_parts[key] = {event.tokens, maximumTokens, std::prev(m_order.end())};
        m_tokens += event.tokens;
        trim();
    }
    m_revision += wasCached != contains(key) ? 1 : 0;
}

bool PartIndex::isMostlyCached(const Part &part)
{
    return part.tokens >= part.maximumTokens * cachedFraction;
}

void PartIndex::setCapacity(std::uint64_t tokens)
{
    m_capacity = tokens;
    trim();
}

void PartIndex::erase(PartKey key)
{
    const auto found = m_parts.find(key);
    if (found == m_parts.end()) {
        return;
    }
    m_tokens -= found->second.tokens;
    m_order.erase(found->second.place);
    m_parts.erase(found);
}

void PartIndex::trim()
{
    while (m_tokens > m_capacity && !m_order.empty()) {
        erase(m_order.front());
        ++m_revision;
    }
}

void PartIndex::clear()
{
    m_parts.clear();
    m_order.clear();
    m_tokens = 0;
    ++m_revision;
}

std::uint64_t PartIndex::revision() const
{
    return m_revision;
}

bool PartIndex::contains(PartKey key) const
{
    const auto found = m_parts.find(key);
    return found != m_parts.end() && isMostlyCached(found->second);
}

std::uint64_t PartIndex::capacity() const
{
    return m_capacity;
}

std::uint64_t PartIndex::tokens() const
{
    return m_tokens;
}

std::vector<PartKey> PartIndex::parts() const
{
    std::vector<PartKey> cached;
    for (const PartKey key : m_order) {
        if (isMostlyCached(m_parts.at(key))) {
            cached.push_back(key);
        }
    }
    return cached;
}

} // namespace Verbena::Decisions
