#include "settingstask.h"

#include "settingstreeevents.h"
#include "snapshotcodec.h"
#include "tablerows.h"
#include "treepath.h"
#include "wireconversion.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <nlohmann/json.hpp>

namespace Verbena::SettingsTree {

namespace {

nlohmann::json secondsOrNull(const std::optional<std::chrono::microseconds> &span)
{
    return span.has_value() ? nlohmann::json(std::chrono::duration<double>(*span).count()) : nlohmann::json(nullptr);
}

} // namespace

std::string SettingsStatus::toJson() const
{
    const nlohmann::json json{{"revision", revision},
        {"hash", hash},
        {"rows", rows},
        {"verified_age_seconds", secondsOrNull(verifiedAge)},
        {"in_force_age_seconds", secondsOrNull(inForceAge)},
        {"malformed_rows", malformedRows},
        {"messages_sent", messagesSent},
        {"messages_received", messagesReceived},
        {"bytes_sent", bytesSent},
        {"bytes_received", bytesReceived},
        {"table_reads", tableReads}};
    return json.dump();
}

Core::Result<std::unique_ptr<SettingsTask>> SettingsTask::create(
    EventLoop::Loop &loop, const SettingsTaskOptions &options, Store::TableService &table, Store::ObjectStore *objects, PeerChannel &channel)
{
    std::unique_ptr<SettingsTask> task(new SettingsTask(loop, options, table, objects, channel));
    if (objects != nullptr) {
        const SnapshotWriterOptions writerOptions{options.snapshots, options.snapshotLease, options.seed, options.snapshotName};
        const Decisions::SettingsReplica &replica = task->m_replica;
        task->m_snapshotWriter = std::make_unique<SnapshotWriter>(loop, writerOptions, table, *objects, [&replica] { return replica.store().everything(); });
    }
    task->restartTimer();
    return task;
}

SettingsTask::SettingsTask(
    EventLoop::Loop &loop, const SettingsTaskOptions &options, Store::TableService &table, Store::ObjectStore *objects, PeerChannel &channel)
    : m_loop(loop)
    , m_options(options)
    , m_table(table)
    , m_objects(objects)
    , m_channel(channel)
    , m_replica(options.replica, options.seed, loop.now())
    , m_timer(loop, [this] { advance(); })
    , m_isAlive(std::make_shared<bool>(true))
{
}

SettingsTask::~SettingsTask()
{
    *m_isAlive = false;
}

void SettingsTask::receiveFromPeer(const std::string &peer, const verbena::wire::Envelope &message)
{
    ++m_counts.messagesReceived;
    m_counts.bytesReceived += message.ByteSizeLong();
    const Core::TimePoint now = m_loop.now();
    if (message.has_settings_digest()) {
        carryOut(m_replica.receiveDigest(peer, fromWire(message.settings_digest()), now));
    } else if (message.has_settings_pull()) {
        carryOut(m_replica.receivePull(peer, message.settings_pull().since_revision(), now));
    } else if (message.has_settings_push()) {
        carryOut(m_replica.receivePush(peer, fromWire(message.settings_push()), m_channel.peers(), now));
    }
}

void SettingsTask::notePeerJoined(const std::string &peer)
{
    carryOut(m_replica.handlePeerConnected(peer, m_loop.now()));
}

void SettingsTask::setChangedCallback(std::function<void()> callback)
{
    m_changedCallback = std::move(callback);
}

std::shared_ptr<const Settings::InForceSettings> SettingsTask::current() const
{
    return m_builder.current();
}

bool SettingsTask::isReady() const
{
    return m_replica.isRecovered();
}

SettingsStatus SettingsTask::status() const
{
    SettingsStatus status = m_counts;
    status.revision = m_builder.current()->revision;
    status.hash = m_replica.store().hash();
    status.rows = m_replica.store().rowCount();
    const Core::TimePoint now = m_loop.now();
    const auto ageOf = [now](const std::optional<Core::TimePoint> &moment) -> std::optional<std::chrono::microseconds> {
        if (!moment.has_value()) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<std::chrono::microseconds>(now - *moment);
    };
    status.verifiedAge = ageOf(m_replica.verifiedAt());
    status.inForceAge = ageOf(m_inForceSince);
    return status;
}

bool SettingsTask::isSettingsMessage(const verbena::wire::Envelope &message)
{
    return message.has_settings_digest() || message.has_settings_pull() || message.has_settings_push();
}

void SettingsTask::advance()
{
    carryOut(m_replica.advance(m_channel.peers(), m_loop.now()));
}

void SettingsTask::carryOut(const Actions &actions)
{
    const std::shared_ptr<bool> isAlive = m_isAlive;
    for (const Decisions::ReplicaAction &action : actions) {
        std::visit([this](const auto &typed) { carryOut(typed); }, action);
        // The callback of a change may end this task.
        if (!*isAlive) {
            return;
        }
    }
    restartTimer();
}

void SettingsTask::carryOut(const Decisions::SendDigest &action)
{
    verbena::wire::Envelope envelope;
    *envelope.mutable_settings_digest() = toWire(action.digest);
    send(action.peer, envelope);
}

void SettingsTask::carryOut(const Decisions::SendPull &action)
{
    verbena::wire::Envelope envelope;
    envelope.mutable_settings_pull()->set_since_revision(action.since);
    send(action.peer, envelope);
}

void SettingsTask::carryOut(const Decisions::SendPush &action)
{
    verbena::wire::Envelope envelope;
    *envelope.mutable_settings_push() = toWire(action.delta);
    send(action.peer, envelope);
}

void SettingsTask::carryOut(const Decisions::ScanTable &action)
{
    ++m_counts.tableReads;
    const Core::TimePoint now = m_loop.now();
    m_table.scan(std::string(treePrefix),
        action.since,
        action.limit,
        now + m_options.platformTimeout,
        [this, action, now, isAlive = m_isAlive](Core::Result<std::vector<Store::TableRow>> answer) {
            if (*isAlive) {
                takeTableAnswer(action, now, std::move(answer));
            }
        });
}

void SettingsTask::carryOut(const Decisions::ReadSnapshot &)
{
    if (m_objects == nullptr) {
        m_replica.receiveSnapshotFailure(true, m_loop.now());
        return;
    }
    m_objects->get(m_options.snapshotName, m_loop.now() + m_options.platformTimeout, [this, isAlive = m_isAlive](const Core::Result<std::string> &answer) {
        if (*isAlive) {
            takeSnapshot(answer);
        }
    });
}

void SettingsTask::carryOut(const Decisions::PublishSettings &action)
{
    std::vector<ChangedRow> rows;
    rows.reserve(action.rows.size());
    for (const Decisions::SettingsRow &row : action.rows) {
        rows.push_back({row.path, row.content, row.revision, row.isDeleted});
    }
    const std::vector<Core::Error> errors = m_builder.apply(rows, action.revision);
    for (const Core::Error &error : errors) {
        Observe::log(settingsRowMalformed, error);
    }
    m_counts.malformedRows += errors.size();
    m_inForceSince = m_loop.now();
    m_replica.setProcessCount(processCount());
    if (m_snapshotWriter != nullptr) {
        m_snapshotWriter->setState(action.revision, processCount());
    }
    Observe::log(settingsInForce, {{"revision", std::to_string(action.revision)}, {"rows", std::to_string(rows.size())}});
    if (m_changedCallback) {
        m_changedCallback();
    }
}

void SettingsTask::carryOut(const Decisions::ReportDivergence &action)
{
    Observe::log(settingsDiverged, {{"peer", action.peer}, {"revision", std::to_string(action.revision)}});
}

void SettingsTask::takeTableAnswer(const Decisions::ScanTable &scan, Core::TimePoint sentAt, Core::Result<std::vector<Store::TableRow>> answer)
{
    if (!answer) {
        Observe::log(settingsTableFailed, answer.error());
        m_replica.receiveTableFailure(m_loop.now());
        restartTimer();
        return;
    }
    carryOut(m_replica.receiveTablePage(scan, settingsRowsOf(std::move(answer.value())), sentAt, m_channel.peers(), m_loop.now()));
}

void SettingsTask::takeSnapshot(const Core::Result<std::string> &answer)
{
    Core::Result<Decisions::SettingsDelta> snapshot = answer ? decodeSnapshot(answer.value()) : Core::Result<Decisions::SettingsDelta>(answer.error());
    if (snapshot) {
        carryOut(m_replica.receiveSnapshot(std::move(snapshot.value()), m_channel.peers(), m_loop.now()));
        return;
    }
    const bool isMissing = snapshot.error().code == Core::ErrorCode::NotFound;
    if (!isMissing) {
        Observe::log(settingsSnapshotFailed, snapshot.error());
    }
    m_replica.receiveSnapshotFailure(isMissing, m_loop.now());
    restartTimer();
}

void SettingsTask::send(const std::string &peer, const verbena::wire::Envelope &message)
{
    // A message to a peer that cannot be reached is lost; another peer is drawn next time.
    if (m_channel.sendToPeer(peer, message)) {
        ++m_counts.messagesSent;
        m_counts.bytesSent += message.ByteSizeLong();
    }
}

// There is an agent for each backend server in the tree; agents know the routers that are connected to them.
std::size_t SettingsTask::processCount() const
{
    return m_builder.current()->backendServers.size() + m_channel.peers().size() + 1;
}

void SettingsTask::restartTimer()
{
    m_timer.startAt(m_replica.nextDeadline());
}

} // namespace Verbena::SettingsTree
