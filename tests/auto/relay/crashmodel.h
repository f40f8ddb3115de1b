#pragma once

#include <decisions/relay/crashledger.h>
#include <decisions/spread/randomsource.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief Routers with the real ledger, one table and one request that crashes its servers, in virtual time.
///
/// Routers are killed, all at once too, and start anew; single ones lose the store, and at times everybody does. Another request runs beside the crashes,
/// and is answered whenever its server lives.
class CrashModel
{
public:
    explicit CrashModel(std::uint64_t seed);

    void run();

    /// \brief Arrivals of the crashing request that count: later than the contact time after its third crash, by routers in touch.
    int retries() const;

    /// \brief Routers on which the innocent request is suspected once all has healed and it was answered once.
    int innocentSuspected() const;

private:
    struct Router
    {
        Decisions::CrashLedger ledger;
        std::vector<Decisions::CrashRecord> unwritten;
        std::set<std::pair<Decisions::RequestIdentity, std::string>> followed; ///< Rows that it was told.
        Core::TimePoint touchedSince{}; ///< Its process runs and reaches the store.
        std::uint64_t followedChange = 0; ///< The last change of the rows that it has heard of.
        bool isCut = false;
    };

    struct Row
    {
        Decisions::CrashRecord record;
        Core::TimePoint visibleTime; ///< Followers hear of it then.
    };

    void disturb();
    void restart(Router &router);
    void follow(Router &router);
    void followTrials(Router &router);
    void noteChange();
    void write(Router &router);
    bool claimTrial(Router &router, const Decisions::RequestIdentity &request);
    void sendCrashing(Router &router);
    void sendInnocent(Router &router);
    void clear(Router &router);
    bool reaches(const Router &router) const;
    void note(Router &router, const Decisions::RequestIdentity &request, const std::string &server);

    Decisions::RandomSource m_random;
    Core::TimePoint m_now;
    std::vector<Router> m_routers;
    std::vector<Row> m_rows;
    std::uint64_t m_change = 1; ///< Of the rows.
    Core::TimePoint m_changedAt{};
    std::map<Decisions::RequestIdentity, std::pair<std::uint32_t, std::uint64_t>> m_trials; ///< Count and revision.
    std::uint64_t m_revision = 0;
    Core::TimePoint m_storeBack{};
    Core::TimePoint m_storeSince{}; ///< The store has been well from then on.
    Decisions::RequestIdentity m_crashing;
    Decisions::RequestIdentity m_innocent;
    std::vector<Core::TimePoint> m_crashes;
    int m_retries = 0;
};

} // namespace Verbena::Test
