#pragma once

#include <decisions/relay/crashhistory.h>
#include <decisions/spread/randomsource.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief Simulates routers with real crash histories, one shared table and one request that crashes its servers, in virtual time.
///
/// Routers are killed, also all at once, and restarted. Single routers lose the store, and at times all do. Another, innocent request runs beside the crashes
/// and gets an answer whenever its server is running.
class CrashModel
{
public:
    explicit CrashModel(std::uint64_t seed);

    void run();

    /// \brief Returns the number of runs of the crashing request that count: later than the contact time after its third crash, from routers that have been
    /// connected for the contact time.
    int retries() const;

    /// \brief Returns the number of routers on which the innocent request is suspected after all faults have ended and it was answered once.
    int routersSuspectingInnocent() const;

private:
    struct Router
    {
        Decisions::CrashHistory history;
        std::vector<Decisions::CrashRecord> unwritten;
        std::set<std::pair<Decisions::RequestIdentity, std::string>> followed; ///< Rows that the router has read.
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
    bool claimTrial(Router &router, const Decisions::RequestIdentity &request);
    void sendCrashing(Router &router);
    void sendInnocent(Router &router);
    void clear(Router &router);
    bool reaches(const Router &router) const;
    void recordCrash(Router &router, const Decisions::RequestIdentity &request, const std::string &server);

    Decisions::RandomSource m_random;
    Core::TimePoint m_now;
    std::vector<Router> m_routers;
    std::vector<Row> m_rows;
    std::uint64_t m_changeNumber = 1; ///< Number of the last change of the rows.
    Core::TimePoint m_changedAt{};
    std::map<Decisions::RequestIdentity, std::pair<std::uint32_t, std::uint64_t>> m_trials; ///< Count and revision of each request's trials.
    std::uint64_t m_revision = 0;
    Core::TimePoint m_storeAvailableAt{};
    Core::TimePoint m_storeHealthySince{}; ///< Time since which the store has been available.
    Decisions::RequestIdentity m_crashing;
    Decisions::RequestIdentity m_innocent;
    std::vector<Core::TimePoint> m_crashes;
    int m_retries = 0;
};

} // namespace Verbena::Test
