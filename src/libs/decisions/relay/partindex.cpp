#include "partindex.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbena::Decisions {

namespace {

// What is missing at the end of a part has to be read again, so with less than this a part counts as gone.
constexpr double mostPart = 0.7;

} // namespace

PartKey partKey(std::string_view scope, std::string_view id)
{
    const std::uint64_t scopeHash = XXH3_64bits(scope.data(), scope.size());
    return PartKey(XXH3_64bits_withSeed(id.data(), id.size(), scopeHash));
}

void PartIndex::take(const PartEvent &event)
{
    const PartKey key = partKey(event.scope, event.id);
    const auto known = m_parts.find(key);
    const std::uint32_t whole = known == m_parts.end() ? event.tokens : std::max(known->second.whole, event.tokens);
    const bool wasKept = contains(key);
    drop(key);
    if (event.tokens > 0) {
        m_order.push_back(key);
        m_parts[key] = {event.tokens, whole, std::prev(m_order.end())};
        m_tokens += event.tokens;
        trim();
    }
    m_revision += wasKept != contains(key) ? 1 : 0;
}

bool PartIndex::isMostlyKept(const Part &part)
{
    return part.tokens >= part.whole * mostPart;
}

void PartIndex::setCapacity(std::uint64_t tokens)
{
    m_capacity = tokens;
    trim();
}

void PartIndex::drop(PartKey key)
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
        drop(m_order.front());
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
    return found != m_parts.end() && isMostlyKept(found->second);
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
    std::vector<PartKey> kept;
    for (const PartKey key : m_order) {
        if (isMostlyKept(m_parts.at(key))) {
            kept.push_back(key);
        }
    }
    return kept;
}

} // namespace Verbena::Decisions
