#pragma once

#include "requestidentity.h"

#include <core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Verbena::Decisions {

/// \brief A crash of one incarnation of a backend server while it ran a request; equal for all routers that observed the crash.
struct CrashRecord
{
    RequestIdentity request;
    std::string server; ///< Id and incarnation of the backend server.
    std::string organisation; ///< Organisation of the caller.

    /// \brief Returns the key of this crash; equal for all routers that observed it.
    std::pair<RequestIdentity, std::string> key() const;
};

/// \brief The crashes during requests: which requests are suspected to crash the backend servers that run them, and when a suspected one may be tried again.
///
/// Stops a request that crashes every backend server that runs it and that callers send again to any router. Records of one crash are equal on all routers
/// and may be merged in any order and any number of times. A complete answer clears a request, since a request that crashes each server never gets one.
/// Requests that only ran beside such a request, or were hit by several crashes with another cause, are therefore cleared by their first success.
class CrashHistory
{
public:
    /// \brief Number of crashes of different servers without a success in between from which on a request runs only as a trial.
    static constexpr std::size_t suspicionThreshold = 2;

    /// \brief Adds \a record. Returns whether it is new and counts.
    bool record(const CrashRecord &record, Core::TimePoint now);

    /// \brief Removes the record with \a key, whose request another router has cleared.
    void retract(const std::pair<RequestIdentity, std::string> &key, Core::TimePoint now);

    /// \brief Clears \a request after a complete answer. Returns its records, which no longer count.
    std::vector<CrashRecord> clear(const RequestIdentity &request, Core::TimePoint now);

    /// \brief Returns whether no crash is recorded.
    bool isEmpty() const;

    /// \brief Returns the number of different servers that crashed while running \a request since its last success.
    std::size_t crashCount(const RequestIdentity &request) const;

    bool isSuspected(const RequestIdentity &request) const;

    /// \brief Sets the number of trials of \a request to \a count, as read from a row at \a revision.
    void setTrials(const RequestIdentity &request, std::uint32_t count, std::uint64_t revision, Core::TimePoint now);

    /// \brief Removes the trials of \a request.
    void removeTrials(const RequestIdentity &request);

    struct Trials
    {
        std::uint32_t count = 0;
        std::uint64_t revision = 0; ///< Revision of the row that counts the trials; 0 if there is none.
        Core::TimePoint nextTrialAt{}; ///< Time from which on the next trial may run.
    };

    /// \brief Returns the trials of \a request.
    Trials trials(const RequestIdentity &request) const;

    /// \brief Removes the records that are too old and returns them.
    std::vector<CrashRecord> expire(Core::TimePoint now);

    /// \brief Returns the records of \a request.
    std::vector<CrashRecord> records(const RequestIdentity &request) const;

    /// \brief Returns up to \a limit records of suspected requests.
    std::vector<CrashRecord> suspectedRecords(std::size_t limit) const;

    std::size_t suspectedRequestCount() const;

private:
    struct Entry
    {
        std::string organisation;
        std::set<std::string> servers;
        Core::TimePoint lastCrashAt{}; ///< Time at which the last crash was recorded.
    };

    using Entries = std::map<RequestIdentity, Entry>;

    bool evictForNewRequest(const std::string &organisation);
    void markCleared(const std::pair<RequestIdentity, std::string> &key, Core::TimePoint now);
    void removeEntry(Entries::iterator entry);

    Entries m_entries;
    std::map<RequestIdentity, Trials> m_trials;
    std::map<std::string, std::size_t> m_entryCounts; ///< Number of entries of each organisation.
    std::map<std::pair<RequestIdentity, std::string>, Core::TimePoint> m_cleared; ///< Keys of cleared crashes, with the time until which they are ignored.
};

} // namespace Verbena::Decisions
