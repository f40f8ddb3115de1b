#pragma once

#include "crashsubject.h"

#include <core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Verbena::Decisions {

/// \brief A crash of one incarnation of a backend server that its subject may have caused; equal for all routers that observed the crash.
struct CrashRecord
{
    CrashSubject subject;
    std::string server; ///< Id and incarnation of the backend server.
    std::string organisation; ///< Organisation of the caller.

    /// \brief Returns the key of this crash; equal for all routers that observed it.
    std::pair<CrashSubject, std::string> key() const;
};

/// \brief The crashes of backend servers: which subjects are suspected to cause them, and when a suspected one may be tried again.
///
/// Stops requests that crash every backend server that runs them and that callers send again to any router. Records of one crash are equal on all routers
/// and may be merged in any order and any number of times. A success clears a subject: a request that crashes each server never gets a complete answer, and a
/// part of a prompt that crashes each server that begins to answer it never gets the first event of one. Subjects that only ran beside such a subject, or were
/// hit by several crashes with another cause, are therefore cleared by their first success.
class CrashHistory
{
public:
    /// \brief Number of crashes of different servers without a success in between from which on a subject runs only as a trial.
    static constexpr std::size_t suspicionThreshold = 2;

    /// \brief Adds \a record. Returns whether it is new and counts.
    bool record(const CrashRecord &record, Core::TimePoint now);

    /// \brief Removes the record with \a key, whose subject another router has cleared.
    void retract(const std::pair<CrashSubject, std::string> &key, Core::TimePoint now);

    /// \brief Clears \a subject after a success. Returns its records, which no longer count.
    std::vector<CrashRecord> clear(const CrashSubject &subject, Core::TimePoint now);

    /// \brief Returns whether no crash is recorded.
    bool isEmpty() const;

    /// \brief Returns the number of different servers that crashed while running \a subject since its last success.
    std::size_t crashCount(const CrashSubject &subject) const;

    bool isSuspected(const CrashSubject &subject) const;

    /// \brief Sets the number of trials of \a subject to \a count, as read from a row at \a revision.
    void setTrials(const CrashSubject &subject, std::uint32_t count, std::uint64_t revision, Core::TimePoint now);

    /// \brief Removes the trials of \a subject.
    void removeTrials(const CrashSubject &subject);

    struct Trials
    {
        std::uint32_t count = 0;
        std::uint64_t revision = 0; ///< Revision of the row that counts the trials; 0 if there is none.
        Core::TimePoint learnedAt{}; ///< Time at which this process read of the last trial.
        Core::TimePoint nextTrialAt{}; ///< Time from which on the next trial may run.
    };

    /// \brief Returns the trials of \a subject.
    Trials trials(const CrashSubject &subject) const;

    /// \brief Removes the records that are too old and returns them.
    std::vector<CrashRecord> expire(Core::TimePoint now);

    /// \brief Returns the records of \a subject.
    std::vector<CrashRecord> records(const CrashSubject &subject) const;

    /// \brief Returns up to \a limit records of suspected subjects.
    std::vector<CrashRecord> suspectedRecords(std::size_t limit) const;

    /// \brief Returns the number of suspected subjects of \a kind.
    std::size_t suspectedCount(CrashSubject::Kind kind) const;

    /// \brief Returns the one of \a suspects, in the order of crashSubjects(), that a run of a request with all of them has to be a trial of: that with the
    /// most crashes. \a suspects must not be empty.
    CrashSubject trialSubject(const std::vector<CrashSubject> &suspects) const;

    /// \brief Returns the time from which on a request with all of \a suspects, and no other suspected subject, may run as a trial.
    Core::TimePoint nextTrialTime(const std::vector<CrashSubject> &suspects) const;

    /// \brief Returns the number of trials of \a subject after one more, of such a request.
    std::uint32_t nextTrialCount(const CrashSubject &subject, const std::vector<CrashSubject> &suspects) const;

private:
    struct Entry
    {
        std::string organisation;
        std::set<std::string> servers;
        Core::TimePoint lastCrashAt{}; ///< Time at which the last crash was recorded.
    };

    using Entries = std::map<CrashSubject, Entry>;

    using EntryGroup = std::pair<std::string, CrashSubject::Kind>; ///< Organisation and kind of subject, whose entries are bounded together.

    bool hasOtherCause(const CrashSubject &subject, const std::vector<CrashSubject> &suspects) const;
    static EntryGroup groupOf(const Entries::value_type &entry);
    bool evictForNewEntry(const EntryGroup &group);
    void markCleared(const std::pair<CrashSubject, std::string> &key, Core::TimePoint now);
    void removeEntry(Entries::iterator entry);

    Entries m_entries;
    std::map<CrashSubject, Trials> m_trials;
    std::map<EntryGroup, std::size_t> m_entryCounts; ///< Number of entries of each group.
    std::map<std::pair<CrashSubject, std::string>, Core::TimePoint> m_cleared; ///< Keys of cleared crashes, with the time until which they are ignored.
};

} // namespace Verbena::Decisions
