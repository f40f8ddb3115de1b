#pragma once

#include <core/time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Verbena::Decisions {

/// \brief Identifies a stream by the attempt of its caller that brought its first event.
struct StreamKey
{
    std::string organisation; ///< Organisation of the caller; empty on a public route. Callers of others cannot look the stream up.
    std::string attemptId;

    bool operator==(const StreamKey &) const = default;
};

/// \brief Where a stream began, and so where alone it may go on.
struct StreamOrigin
{
    std::string service;
    std::string softwareVersion;
    bool isDisputed = false; ///< Whether streams with the same key began at different places, so that none of them may go on.

    bool operator==(const StreamOrigin &) const = default;
};

/// \brief The origins of streams that one process was told, for as long as their callers may resume them.
///
/// The number of entries is bounded. Beyond the bound, the organisation with the most entries loses its oldest one, so that a flood of streams of one
/// organisation does not push out those of others.
class StreamOrigins
{
public:
    explicit StreamOrigins(std::size_t maximumEntries = defaultMaximumEntries);

    /// \brief Records that the stream \a key began at \a origin; the entry is kept until \a expiry at least, unless there are too many.
    void record(const StreamKey &key, const StreamOrigin &origin, Core::TimePoint expiry, Core::TimePoint now);

    /// \brief Returns the origin of the stream \a key; nothing if it is not known.
    std::optional<StreamOrigin> find(const StreamKey &key, Core::TimePoint now) const;

    /// \brief Returns the number of entries, including expired ones that were not removed yet.
    std::size_t size() const;

private:
    static constexpr std::size_t defaultMaximumEntries = 65536;

    struct Entry
    {
        StreamOrigin origin;
        Core::TimePoint expiry;
    };

    // The entries of one organisation, with their attempt ids in the order in which they were first recorded.
    struct Organisation
    {
        std::map<std::string, Entry> entries;
        std::deque<std::string> order;
    };

    void removeExpired(Core::TimePoint now);
    void removeOldestOfLargest();
    void removeOldest(Organisation &organisation);

    std::size_t m_maximumEntries;
    std::size_t m_size = 0;
    std::map<std::string, Organisation> m_organisations;
    Core::TimePoint m_nextCleanup{};
};

} // namespace Verbena::Decisions
