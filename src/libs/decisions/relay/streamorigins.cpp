#include "streamorigins.h"

#include <algorithm>
#include <chrono>

namespace Verbena::Decisions {

namespace {

// Interval at which expired entries are removed.
constexpr std::chrono::seconds cleanupInterval{5};

} // namespace

StreamOrigins::StreamOrigins(std::size_t maximumEntries)
    : m_maximumEntries(maximumEntries)
{
}

void StreamOrigins::record(const StreamKey &key, const StreamOrigin &origin, Core::TimePoint expiry, Core::TimePoint now)
{
    removeExpired(now);
    Organisation &organisation = m_organisations[key.organisation];
    const auto [found, isNew] = organisation.entries.try_emplace(key.attemptId, Entry{origin, expiry});
    if (!isNew) {
        Entry &entry = found->second;
        entry.origin.isDisputed = entry.origin.isDisputed || entry.origin != origin;
        entry.expiry = std::max(entry.expiry, expiry);
        return;
    }
    organisation.order.push_back(key.attemptId);
    ++m_size;
    if (m_size > m_maximumEntries) {
        removeOldestOfLargest();
    }
}

std::optional<StreamOrigin> StreamOrigins::find(const StreamKey &key, Core::TimePoint now) const
{
    const auto organisation = m_organisations.find(key.organisation);
    if (organisation == m_organisations.end()) {
        return std::nullopt;
    }
    const auto entry = organisation->second.entries.find(key.attemptId);
    const bool isKnown = entry != organisation->second.entries.end() && now < entry->second.expiry;
    return isKnown ? std::optional(entry->second.origin) : std::nullopt;
}

std::size_t StreamOrigins::size() const
{
    return m_size;
}

void StreamOrigins::removeExpired(Core::TimePoint now)
{
    if (now < m_nextCleanup) {
        return;
    }
    m_nextCleanup = now + cleanupInterval;
    for (auto &[name, organisation] : m_organisations) {
        m_size -= std::erase_if(organisation.entries, [now](const auto &entry) { return now >= entry.second.expiry; });
        std::erase_if(organisation.order, [&entries = organisation.entries](const std::string &attemptId) { return !entries.contains(attemptId); });
    }
    std::erase_if(m_organisations, [](const auto &organisation) { return organisation.second.entries.empty(); });
}

void StreamOrigins::removeOldestOfLargest()
{
    const auto largest = std::max_element(m_organisations.begin(), m_organisations.end(), [](const auto &one, const auto &other) {
        return one.second.entries.size() < other.second.entries.size();
    });
    removeOldest(largest->second);
}

void StreamOrigins::removeOldest(Organisation &organisation)
{
    organisation.entries.erase(organisation.order.front());
    organisation.order.pop_front();
    --m_size;
}

} // namespace Verbena::Decisions
