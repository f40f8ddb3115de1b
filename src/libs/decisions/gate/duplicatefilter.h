#pragma once

#include "gatetypes.h"

#include <map>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Detects duplicate attempts by keeping each received attempt until no more copies of it can arrive.
class DuplicateFilter
{
public:
    /// \brief Creates a filter for at most \a capacity requests, each of which is kept until \a margin after its latest deadline.
    DuplicateFilter(std::size_t capacity, std::chrono::milliseconds margin);

    /// \brief Result of a check.
    enum class Verdict {
        New, ///< The attempt has not been received before and may be queued.
        Queued, ///< The attempt is in the queue.
        MayHaveRun, ///< The attempt was started, or any attempt of a non-idempotent request was.
        Refused, ///< The attempt was refused or cancelled here before it ran.
        Superseded, ///< A later attempt was received first; this one has not been received before.
        CapacityReached, ///< The filter is full of requests whose copies may still arrive.
    };

    /// \brief Removes expired entries and returns whether \a request is new or a duplicate.
    Verdict check(const GateRequest &request, Core::TimePoint now);

    /// \brief Records that an attempt for which check() returned Verdict::New has been queued.
    void recordQueued(const GateRequest &request);

    /// \brief Records that a queued attempt has been started.
    void recordStarted(const RequestRef &ref);

    /// \brief Records that a queued attempt was refused or cancelled before it ran.
    void recordNotRun(const RequestRef &ref);

    std::size_t size() const;

private:
    struct Entry
    {
        std::uint32_t latestAttempt = 0;
        std::uint64_t startedAttempts = 0; ///< One bit for each attempt; the last bit stands for all attempts from 63 on.
        std::uint64_t receivedAttempts = 0;
        std::uint64_t queuedAttempts = 0;
        Core::TimePoint expiresAt;
    };

    void removeExpired(Core::TimePoint now);

    std::size_t m_capacity;
    std::chrono::milliseconds m_margin;
    std::unordered_map<std::string, Entry> m_entries;
    std::multimap<Core::TimePoint, std::string> m_byExpiry;
};

} // namespace Verbena::Decisions
