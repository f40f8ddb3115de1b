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

/// \brief One backend server ended in one of its lives while it ran a request. Alike for all who saw it.
struct CrashRecord
{
    RequestIdentity request;
    std::string server; ///< Its id and incarnation.
    std::string organisation; ///< Of the caller.

    /// \brief Tells this crash from all others; equal for all who saw it.
    std::pair<RequestIdentity, std::string> key() const;
};

/// \brief Which requests are suspected to crash the backend servers that run them, and when one may be tried again.
///
/// It answers a request that ends every server that runs it and comes again at any router: what routers know of it is merged from records that are equal
/// whoever made them, in any order and however often. A request that a server answered whole is cleared, as one that ends each of them never is; so those
/// that only ran beside one, or were hit by several crashes that had another cause, are free with their first success.
class CrashLedger
{
public:
    /// \brief Crashes of different servers, without a success since, from which on a request runs only as a trial.
    static constexpr std::size_t suspectedFrom = 2;

    /// \brief Takes \a record; returns whether it is new and counts.
    bool note(const CrashRecord &record, Core::TimePoint now);

    /// \brief Somebody cleared the request of the record with \a key.
    void takeBack(const std::pair<RequestIdentity, std::string> &key, Core::TimePoint now);

    /// \brief \a request was answered whole: returns what was recorded of it, which counts no more.
    std::vector<CrashRecord> clear(const RequestIdentity &request, Core::TimePoint now);

    /// \brief Whether anything is recorded of any request.
    bool isEmpty() const;

    /// \brief Different servers that ended under \a request since its last success.
    std::size_t crashes(const RequestIdentity &request) const;

    bool isSuspected(const RequestIdentity &request) const;

    /// \brief Trials of \a request that there have been are \a count, by a row at \a revision.
    void noteTrials(const RequestIdentity &request, std::uint32_t count, std::uint64_t revision, Core::TimePoint now);

    /// \brief The trials of \a request were struck out.
    void forgetTrials(const RequestIdentity &request);

    struct Trials
    {
        std::uint32_t count = 0;
        std::uint64_t revision = 0; ///< Of their row; 0 if there is none.
        Core::TimePoint nextTime{}; ///< Of the next one.
    };

    /// \brief The trials of \a request.
    Trials trials(const RequestIdentity &request) const;

    /// \brief Forgets what is too old, or too much; returns it.
    std::vector<CrashRecord> expire(Core::TimePoint now);

    /// \brief What is recorded of \a request.
    std::vector<CrashRecord> records(const RequestIdentity &request) const;

    /// \brief What is recorded of suspected requests, \a most of them.
    std::vector<CrashRecord> suspicions(std::size_t most) const;

    std::size_t suspectedCount() const;

private:
    struct Entry
    {
        std::string organisation;
        std::set<std::string> servers;
        Core::TimePoint latest{}; ///< When the last crash was learned.
    };

    using Entries = std::map<RequestIdentity, Entry>;

    bool makeRoom(const std::string &organisation);
    void remember(const std::pair<RequestIdentity, std::string> &key, Core::TimePoint now);
    void drop(Entries::iterator entry);

    Entries m_entries;
    std::map<RequestIdentity, Trials> m_trials;
    std::map<std::string, std::size_t> m_byOrganisation; ///< Entries of each.
    std::map<std::pair<RequestIdentity, std::string>, Core::TimePoint> m_cleared; ///< Crashes that count no more, and until when that is remembered.
};

} // namespace Verbena::Decisions
