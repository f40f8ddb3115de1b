#pragma once

#include "crashcontrol.h"
#include "crashgossip.h"
#include "feedreporter.h"
#include "lostcallchecker.h"
#include "relaytask.h"
#include "rowwriter.h"
#include "tableagemonitor.h"
#include "tablegossip.h"

#include <core/lifetime.h>
#include <decisions/relay/crashhistory.h>
#include <store/rowmirror.h>
#include <store/tablefollower.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief Limits, together with all other routers, how many backend servers a request, or a part of prompts, can crash.
///
/// Crashes that one router observes are written to a table of the store that all routers follow, and sent to the other routers by datagram. The table
/// outlives every process; the datagrams work while the store is unavailable. Trials of a suspected subject are granted by a conditional write to the same
/// table, so all routers together grant one at a time.
class CrashGuard : public CrashControl, private Store::RowConsumer
{
public:
    /// \brief Follows \a source, writes to \a store and copies the rows it reads to \a mirror; exchanges datagrams with other routers from \a address.
    ///
    /// Errors: Unavailable.
    static Core::Result<std::unique_ptr<CrashGuard>> create(EventLoop::Loop &loop,
        Store::RowSource &source,
        Store::RowMirror &mirror,
        Store::RowStore &store,
        const Http::Endpoint &address,
        RelayTask &relay,
        const Store::FollowTimes &times);
    ~CrashGuard() override;

    CrashGuard(const CrashGuard &) = delete;
    CrashGuard &operator=(const CrashGuard &) = delete;

    /// \brief Shares the table of crashes with other routers by \a gossip, which must live as long as this object.
    void join(TableGossip &gossip);

    /// \brief Lets \a monitor follow the age of the table of crashes.
    void showAge(TableAgeMonitor &monitor);

    bool hasRecords() const override;
    bool isSuspected(const Decisions::CrashSubject &subject) const override;
    std::uint64_t claimTrial(const std::vector<Decisions::CrashSubject> &suspects, TrialCallback done) override;
    void releaseTrial(const Decisions::CrashSubject &subject) override;
    std::uint64_t handleLostCall(const LostCall &call, CheckCallback done) override;
    void withdraw(std::uint64_t number) override;
    void handleSuccess(const std::vector<Decisions::CrashSubject> &subjects) override;

private:
    struct PendingTrial
    {
        std::uint64_t number = 0;
        TrialCallback done; ///< Empty after the request was withdrawn.
        std::uint32_t count = 0;
    };

    CrashGuard(
        EventLoop::Loop &loop, Store::RowSource &source, Store::RowMirror &mirror, Store::RowStore &store, RelayTask &relay, const Store::FollowTimes &times);
    void replaceRows(const std::string &table, const Store::RowPage &page) override;
    void changeRows(const std::string &table, const Store::RowPage &page) override;
    void sourceLost(const std::string &table, const Core::Error &error) override;
    void sourceRegained(const std::string &table) override;
    void tableVerified(const std::string &table, Store::StoreTime verifiedAt, std::uint64_t coveredRevision) override;
    void staleAnswerReceived(const std::string &table, const Store::StaleAnswer &answer) override;
    void applyRow(const Store::TableRow &row, const char *source);
    void applyRecord(const Decisions::CrashRecord &record, bool isDeleted, const char *source);
    void record(const LostCall &call, const char *proof);
    void logCrash(const Decisions::CrashRecord &record, const LostCall &call, const char *proof, const char *source) const;
    std::vector<Store::TableRow> clear(const Decisions::CrashSubject &subject);
    void writeRecords(const Decisions::CrashSubject &subject);
    void handleTrialAnswer(const Decisions::CrashSubject &subject, const Store::CommitAnswer &answer);
    void updateTrials(const Decisions::CrashSubject &subject, const Store::CommitAnswer &answer, std::uint32_t count);
    void announce(const std::vector<Store::TableRow> &rows);
    void checkPeriodically();

    EventLoop::Loop &m_loop;
    Store::RowMirror &m_mirror;
    FeedReporter m_reporter;
    Store::RowStore &m_store;
    RelayTask &m_relay;
    Decisions::CrashHistory m_history;
    RowWriter m_writer;
    LostCallChecker m_lostCalls;
    std::unique_ptr<CrashGossip> m_gossip;
    std::map<Decisions::CrashSubject, PendingTrial> m_pendingTrials;
    std::uint64_t m_lastNumber = 0;
    bool m_isStoreLost = false;
    EventLoop::Timer m_timer;
    Store::TableFollower m_follower;
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Relay
