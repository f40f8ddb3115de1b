#pragma once

#include "crashcontrol.h"
#include "crashnews.h"
#include "crashrowwriter.h"
#include "feedreporter.h"
#include "lostcalls.h"
#include "relaytask.h"
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

/// \brief Keeps requests that crash their backend servers from more of them, together with all other routers.
///
/// What one router saw goes into a table of the store that all follow, and by datagram to the others. The table outlives every process; the datagrams hold
/// while the store is away. Trials of a suspected request are granted by a conditional write in the same table, so one at a time by all routers together.
class CrashGuard : public CrashControl, private Store::RowConsumer
{
public:
    /// \brief Follows \a source, writes to \a store and hands what it learns on by \a mirror; talks to other routers from \a address. Errors: Unavailable.
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

    /// \brief Shares the table of crashes with other routers by \a gossip, which lives as long as this.
    void join(TableGossip &gossip);

    /// \brief Lets \a monitor follow how old the table of crashes is.
    void showAge(TableAgeMonitor &monitor);

    bool hasRecords() const override;
    bool isSuspected(const Decisions::RequestIdentity &request) const override;
    std::uint64_t claimTrial(const Decisions::RequestIdentity &request, TrialCallback done) override;
    void giveBackTrial(const Decisions::RequestIdentity &request) override;
    std::uint64_t noteLost(const LostCall &call, CheckCallback done) override;
    void withdraw(std::uint64_t number) override;
    void noteServed(const Decisions::RequestIdentity &request) override;

private:
    struct Claim
    {
        std::uint64_t number = 0;
        TrialCallback done; ///< Empty once the request is gone.
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
    void takeRow(const Store::TableRow &row, const char *toldBy);
    void takeRecord(const Decisions::CrashRecord &record, bool isDeleted, const char *toldBy);
    void record(const LostCall &call, const char *proof);
    void write(const Decisions::RequestIdentity &request);
    void takeClaim(const Decisions::RequestIdentity &request, const Store::CommitAnswer &answer);
    void followTrials(const Decisions::RequestIdentity &request, const Store::CommitAnswer &answer, std::uint32_t count);
    void tell(const std::vector<Store::TableRow> &rows);
    void look();

    EventLoop::Loop &m_loop;
    Store::RowMirror &m_mirror;
    FeedReporter m_reporter;
    Store::RowStore &m_store;
    RelayTask &m_relay;
    Decisions::CrashHistory m_ledger;
    CrashRowWriter m_writer;
    LostCalls m_lost;
    std::unique_ptr<CrashNews> m_news;
    std::map<Decisions::RequestIdentity, Claim> m_claims;
    std::uint64_t m_lastNumber = 0;
    bool m_isStoreLost = false;
    EventLoop::Timer m_timer;
    Store::TableFollower m_follower;
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Relay
