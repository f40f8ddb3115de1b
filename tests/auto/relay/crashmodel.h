#pragma once

#include <decisions/relay/crashhistory.h>
#include <decisions/spread/randomsource.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief Simulates routers with real crash histories, one shared table and requests that crash their servers, in virtual time.
///
/// Routers are killed, also all at once, and restarted. Single routers lose the store, and at times all do. Innocent requests run beside the crashes and get an
/// answer whenever their server is running.
class CrashModel
{
public:
    enum class Kind {
        Request, ///< One request crashes its servers; one other is innocent.
        PromptPart, ///< One part of prompts crashes the servers. No two requests are alike, and the innocent ones share all other parts.
    };

    CrashModel(std::uint64_t seed, Kind kind);

    void run();

    /// \brief Returns the number of runs of crashing requests that count: later than the contact time after the third crash under a request or the fifth under
    /// a part, from routers that have been connected for the contact time.
    int retries() const;

    /// \brief Returns the number of routers on which an innocent subject is suspected after all faults have ended and each was answered once.
    int routersSuspectingInnocent() const;

private:
    struct Router
    {
        Decisions::CrashHistory history;
        std::vector<Decisions::CrashRecord> unwritten;
        std::set<std::pair<Decisions::CrashSubject, std::string>> followed; ///< Rows that the router has read.
        Core::TimePoint connectedSince{}; ///< Time since which the process runs and the state of its connection to the store is unchanged.
        std::uint64_t followedChange = 0; ///< Number of the last change of the rows that the router has read.
        bool isDisconnected = false;
    };

    struct Row
    {
        Decisions::CrashRecord record;
        Core::TimePoint visibleTime; ///< Time from which on followers read the row.
    };

    void injectFault();
    void restart(Router &router);
    void follow(Router &router);
    void followTrials(Router &router);
    void markRowsChanged();
    void write(Router &router);
    using Subjects = std::vector<Decisions::CrashSubject>;

    Subjects nextCrashing();
    Subjects nextInnocent();
    static Subjects suspectsOf(const Router &router, const Subjects &subjects);
    bool mayRun(Router &router, const Subjects &subjects);
    bool claimTrial(Router &router, const Subjects &suspects);
    void sendCrashing(Router &router);
    void sendInnocent(Router &router, const Subjects &subjects);
    void clear(Router &router, const Decisions::CrashSubject &subject);
    bool reaches(const Router &router) const;
    void recordCrash(Router &router, const Subjects &subjects, const std::string &server);

    Decisions::RandomSource m_random;
    Core::TimePoint m_now;
    std::vector<Router> m_routers;
    std::vector<Row> m_rows;
    std::uint64_t m_changeNumber = 1; ///< Number of the last change of the rows.
    Core::TimePoint m_changedAt{};
    std::map<Decisions::CrashSubject, std::pair<std::uint32_t, std::uint64_t>> m_trials; ///< Count and revision of each request's trials.
    std::uint64_t m_revision = 0;
    Core::TimePoint m_storeAvailableAt{};
    Core::TimePoint m_storeHealthySince{}; ///< Time since which the store has been available.
    Kind m_kind;
    std::uint64_t m_lastRequest = 0;
    std::set<Decisions::CrashSubject> m_innocent; ///< All innocent subjects of which requests were sent, besides single whole requests.
    std::vector<Core::TimePoint> m_crashes;
    int m_retries = 0;
};

} // namespace Verbena::Test
