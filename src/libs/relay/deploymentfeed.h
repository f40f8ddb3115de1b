#pragma once

#include "agewatch.h"
#include "deploymentdecoder.h"
#include "feedreport.h"
#include "refusedentries.h"
#include "relaytask.h"
#include "tablegossip.h"
#include "weightsnamings.h"

#include <eventloop/timer.h>
#include <store/rowmirror.h>
#include <store/tablefollower.h>

#include <chrono>
#include <optional>
#include <string>

namespace Verbena::Relay {

/// \brief Keeps a relay in step with what operators and backend servers write into the store.
class DeploymentFeed : private Store::RowConsumer
{
public:
    /// \brief Follows \a source; what it tells goes on into \a mirror too, and what it says of weights into \a namings.
    DeploymentFeed(EventLoop::Loop &loop,
        Store::RowSource &source,
        Store::RowMirror &mirror,
        const DeploymentDecoder &decoder,
        RelayTask &relay,
        WeightsNamings &namings,
        const Store::FollowTimes &times);
    ~DeploymentFeed() override;

    /// \brief Shares the tables with other routers by \a gossip, which lives as long as this.
    void join(TableGossip &gossip);

    /// \brief Lets \a watch follow how old the tables are.
    void showAges(AgeWatch &watch);

    /// \brief How old the operators' declarations may be; nothing before they were read once.
    std::optional<std::chrono::milliseconds> declarationsAge() const;

    DeploymentFeed(const DeploymentFeed &) = delete;
    DeploymentFeed &operator=(const DeploymentFeed &) = delete;

private:
    void replaceRows(const std::string &table, const Store::RowPage &page) override;
    void changeRows(const std::string &table, const Store::RowPage &page) override;
    void sourceLost(const std::string &table, const Core::Error &error) override;
    void sourceRegained(const std::string &table) override;
    void tableVerified(const std::string &table, Store::StoreTime verifiedAt, std::uint64_t coveredRevision) override;
    void staleAnswerReceived(const std::string &table, const Store::StaleAnswer &answer) override;
    void takeRows(const std::string &table, const Store::RowPage &page, const std::string &how);
    void takeRow(const std::string &table, const Store::TableRow &row, const std::string &how);
    void noteClock(const Store::RowPage &page);
    void refuseEntry(const std::string &id, const Core::Error &error);
    void tellChange(const std::string &table);
    void takeServer(const Decisions::RegisteredServer &server);
    void replaceServers(const Store::RowPage &page);

    EventLoop::Loop &m_loop;
    Store::RowMirror &m_mirror;
    FeedReport m_report;
    const DeploymentDecoder &m_decoder;
    RelayTask &m_relay;
    WeightsNamings &m_namings;
    std::string m_declarationsTable;
    std::string m_serversTable;
    TableGossip *m_gossip = nullptr; ///< Nothing before join().
    RefusedEntries m_refused;
    EventLoop::Timer m_lapseTimer;
    Store::TableFollower m_declarations;
    Store::TableFollower m_servers;
};

} // namespace Verbena::Relay
