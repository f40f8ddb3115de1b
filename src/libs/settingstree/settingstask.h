#pragma once

#include "inforcebuilder.h"
#include "peerchannel.h"
#include "snapshotwriter.h"

#include <decisions/spread/settingsreplica.h>
#include <eventloop/timer.h>
#include <settings/inforcesettings.h>
#include <store/objectstore.h>
#include <store/tableservice.h>

#include <memory>
#include <optional>

namespace Verbena::EventLoop {
class Loop;
}

namespace Verbena::SettingsTree {

/// \brief Options of a SettingsTask.
struct SettingsTaskOptions
{
    Decisions::SettingsReplicaOptions replica;
    std::uint64_t seed = 0; ///< Seed, different in each process.
    std::chrono::milliseconds platformTimeout{2'000}; ///< Timeout of each call of the table and the object store.
    std::string snapshotName = "settings/snapshot"; ///< Name of the snapshot in the object store.
    Decisions::SnapshotPlanOptions snapshots;
    Decisions::LeaseOptions snapshotLease;
};

/// \brief Status of the settings of a process, for /status and /metrics.
struct SettingsStatus
{
    std::uint64_t revision = 0; ///< Revision in force.
    std::uint64_t hash = 0; ///< Hash of all rows; equal in all processes at the same revision.
    std::size_t rows = 0;
    std::optional<std::chrono::microseconds> verifiedAge; ///< Every change that was accepted longer ago is in force; nothing if not known yet.
    std::optional<std::chrono::microseconds> inForceAge; ///< Time since this revision came into force.
    std::uint64_t malformedRows = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesSent = 0; ///< Size of the sent messages without the overhead of the transport.
    std::uint64_t bytesReceived = 0;
    std::uint64_t tableReads = 0;

    /// \brief Returns the object that /status shows under "settings".
    std::string toJson() const;
};

/// \brief Keeps the settings of one process up to date from peers, the table and the snapshot.
class SettingsTask : public Settings::SettingsView
{
public:
    /// \brief Starts at once. All arguments must outlive the task. Without \a objects there are no snapshots.
    static Core::Result<std::unique_ptr<SettingsTask>> create(
        EventLoop::Loop &loop, const SettingsTaskOptions &options, Store::TableService &table, Store::ObjectStore *objects, PeerChannel &channel);
    ~SettingsTask() override;

    SettingsTask(const SettingsTask &) = delete;
    SettingsTask &operator=(const SettingsTask &) = delete;

    /// \brief Handles a message for which isSettingsMessage() is true.
    void receiveFromPeer(const std::string &peer, const verbena::wire::Envelope &message);

    /// \brief Handles that \a peer can be reached now, which speeds up a start.
    void notePeerJoined(const std::string &peer);

    void setChangedCallback(std::function<void()> callback) override;

    std::shared_ptr<const Settings::InForceSettings> current() const override;

    /// \brief Returns whether there are settings in force.
    bool isReady() const;

    SettingsStatus status() const;

    /// \brief Returns whether receiveFromPeer() handles the message.
    static bool isSettingsMessage(const verbena::wire::Envelope &message);

private:
    using Actions = Decisions::SettingsReplica::Actions;

    SettingsTask(EventLoop::Loop &loop, const SettingsTaskOptions &options, Store::TableService &table, Store::ObjectStore *objects, PeerChannel &channel);
    void advance();
    void carryOut(const Actions &actions);
    void carryOut(const Decisions::SendDigest &action);
    void carryOut(const Decisions::SendPull &action);
    void carryOut(const Decisions::SendPush &action);
    void carryOut(const Decisions::ScanTable &action);
    void carryOut(const Decisions::ReadSnapshot &action);
    void carryOut(const Decisions::PublishSettings &action);
    void carryOut(const Decisions::ReportDivergence &action);
    void takeTableAnswer(const Decisions::ScanTable &scan, Core::TimePoint sentAt, Core::Result<std::vector<Store::TableRow>> answer);
    void takeSnapshot(const Core::Result<std::string> &answer);
    void send(const std::string &peer, const verbena::wire::Envelope &message);
    std::size_t processCount() const;
    void restartTimer();

    EventLoop::Loop &m_loop;
    SettingsTaskOptions m_options;
    Store::TableService &m_table;
    Store::ObjectStore *m_objects;
    PeerChannel &m_channel;
    Decisions::SettingsReplica m_replica;
    InForceBuilder m_builder;
    std::unique_ptr<SnapshotWriter> m_snapshotWriter; ///< Null without an object store.
    EventLoop::Timer m_timer;
    std::function<void()> m_changedCallback;
    std::optional<Core::TimePoint> m_inForceSince;
    SettingsStatus m_counts; ///< Only the counters are used.
    std::shared_ptr<bool> m_isAlive; ///< Expired when a late answer arrives after the destruction of this task.
};

} // namespace Verbena::SettingsTree
