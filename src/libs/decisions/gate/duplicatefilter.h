#pragma once

#include "gatetypes.h"

#include <map>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Remembers which attempts were received, until copies of them can no longer come.
class DuplicateFilter
{
public:
    /// \brief Bounds: entries beyond \a capacity are not taken; each is kept for \a margin after its deadline.
    DuplicateFilter(std::size_t capacity, std::chrono::milliseconds margin);

    /// \brief What is to be done with an attempt.
    enum class Verdict {
        New, ///< Not seen before, and nothing forbids it.
        Queued, ///< This attempt waits here.
        MayHaveRun, ///< This attempt, or another of a request that may run once, was started.
        Refused, ///< This attempt was refused here before.
        Superseded, ///< A later attempt came before, and this one has never been seen.
        CapacityReached, ///< The filter is full of attempts whose copies may still come.
    };

    Verdict check(const GateRequest &request, Core::TimePoint now);

    /// \brief An attempt for which check() said New now waits.
    void recordQueued(const GateRequest &request);

    void recordStarted(const RequestRef &ref);

    /// \brief A queued attempt was refused or cancelled before it ran.
    void recordNotRun(const RequestRef &ref);

    std::size_t size() const;

private:
    struct Entry
    {
        std::uint32_t latestAttempt = 0;
        std::uint64_t startedAttempts = 0; ///< One bit an attempt; the last bit stands for all later ones.
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
