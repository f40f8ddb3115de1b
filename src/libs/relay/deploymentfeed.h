#pragma once

#include "deploymentdecoder.h"
#include "feedreporter.h"
#include "registercopy.h"
#include "rejectedentries.h"
#include "relaytask.h"
#include "tableagemonitor.h"
#include "tablegossip.h"
#include "weightsannouncements.h"

#include <eventloop/timer.h>
#include <store/rowmirror.h>
#include <store/tablefollower.h>

#include <chrono>
#include <optional>
#include <string>

namespace Verbena::Relay {

/// \brief Applies to a relay what operators and backend servers write into the store.
class DeploymentFeed : public RegisterCopy, private Store::RowConsumer
{
public:
    /// \brief Follows \a source. Its rows are also copied into \a mirror, and announced weights are passed on to \a announcements.
    DeploymentFeed(EventLoop::Loop &loop,
        Store::RowSource &source,
        Store::RowMirror &mirror,
        const DeploymentDecoder &decoder,
        RelayTask &relay,
        WeightsAnnouncements &announcements,
        const Store::FollowTimes &times);
    ~DeploymentFeed() override;

    /// \brief Shares the tables with other routers through \a gossip, which has to live as long as this object.
    void setGossip(TableGossip &gossip);

    /// \brief Adds the tables to \a monitor.
    void monitorAges(TableAgeMonitor &monitor);

    /// \brief Returns the maximum age of the operators' declarations; nothing before they were read once.
    std::optional<std::chrono::milliseconds> declarationsAge() const;

    std::optional<std::chrono::milliseconds> registerAge() const override;
    bool renewRegister() override;

    DeploymentFeed(const DeploymentFeed &) = delete;
    DeploymentFeed &operator=(const DeploymentFeed &) = delete;

private:
    void replaceRows(const std::string &table, const Store::RowPage &page) override;
    void changeRows(const std::string &table, const Store::RowPage &page) override;
    void sourceLost(const std::string &table, const Core::Error &error) override;
    void sourceRegained(const std::string &table) override;
    void tableVerified(const std::string &table, Store::StoreTime verifiedAt, std::uint64_t coveredRevision) override;
    void staleAnswerReceived(const std::string &table, const Store::StaleAnswer &answer) override;
    void applyRows(const std::string &table, const Store::RowPage &page, const std::string &source);
    void applyRow(const std::string &table, const Store::TableRow &row, const std::string &source);
    void applyConfiguration(Decisions::RelayConfiguration configuration, std::uint64_t revision);
    void addClockReading(const Store::RowPage &page);
    void rejectEntry(const std::string &id, const Core::Error &error);
    void announceChange(const std::string &table);
    void applyServer(const Decisions::RegisteredServer &server);
    void replaceServers(const Store::RowPage &page);

    EventLoop::Loop &m_loop;
    Store::RowMirror &m_mirror;
    FeedReporter m_reporter;
    const DeploymentDecoder &m_decoder;
    RelayTask &m_relay;
    WeightsAnnouncements &m_announcements;
    std::string m_declarationsTable;
    std::string m_serversTable;
    TableGossip *m_gossip = nullptr; ///< Null before setGossip().
    RejectedEntries m_rejected;
    EventLoop::Timer m_lapseTimer;
    Store::TableFollower m_declarations;
    Store::TableFollower m_servers;
};

} // namespace Verbena::Relay
