#pragma once

#include "feedpoller.h"
#include "pushbudget.h"
#include "recoveryplan.h"
#include "settingsstore.h"
#include "spreadplan.h"

#include <span>
#include <variant>

namespace Verbena::Decisions {

/// \brief Send what is held to \a peer in short.
struct SendDigest
{
    std::string peer;
    SettingsDigest digest;
};

/// \brief Ask \a peer for what changed after \a since.
struct SendPull
{
    std::string peer;
    std::uint64_t since = 0;
};

/// \brief Send content to \a peer.
struct SendPush
{
    std::string peer;
    SettingsDelta delta;
};

/// \brief Read the table's rows that changed after \a since; the answer goes to receiveTablePage() or receiveTableFailure().
struct ScanTable
{
    std::uint64_t since = 0;
    std::size_t limit = 0;
};

/// \brief Read the snapshot; the answer goes to receiveSnapshot() or receiveSnapshotFailure().
struct ReadSnapshot
{
};

/// \brief Put in force what \a rows change; together they lead to \a revision.
struct PublishSettings
{
    std::uint64_t revision = 0;
    std::vector<SettingsRow> rows;
};

/// \brief Tell people that \a peer holds other rows at the same revision, which must never be.
struct ReportDivergence
{
    std::string peer;
    std::uint64_t revision = 0;
};

using ReplicaAction = std::variant<SendDigest, SendPull, SendPush, ScanTable, ReadSnapshot, PublishSettings, ReportDivergence>;

/// \brief How a replica of the settings tree behaves.
struct SettingsReplicaOptions
{
    SpreadPlanOptions spread;
    FeedPollerOptions poller;
    RecoveryPlanOptions recovery;
    std::size_t pageBytes = 256 * 1024; ///< Of one push, about.
    std::size_t pageRows = 500; ///< Of one scan of the table.
    std::size_t pushBytesPerSecond = 16 * 1024 * 1024; ///< Served to peers, mostly to those that start.
    std::size_t pushBurstBytes = 16 * 1024 * 1024; ///< Holds the whole tree of 18,000 organisations.
    std::chrono::milliseconds catchUpTimeout{10'000}; ///< A later state that is not whole by then is given up.
};

/// \brief One process's copy of the settings tree: what it tells, asks, reads and puts in force.
///
/// Each command returns what is to be done now. \a peers are all that can be reached at that moment.
class SettingsReplica
{
public:
    using Actions = std::vector<ReplicaAction>;
    using Peers = std::span<const std::string>;

    SettingsReplica(const SettingsReplicaOptions &options, std::uint64_t seed, Core::TimePoint start);

    /// \brief Does what is due at \a now.
    Actions advance(Peers peers, Core::TimePoint now);

    /// \brief Notes that \a peer can be reached now; a starting process asks the first few at once.
    Actions greetPeer(const std::string &peer, Core::TimePoint now);

    Actions receiveDigest(const std::string &peer, const SettingsDigest &digest, Core::TimePoint now);
    Actions receivePull(const std::string &peer, std::uint64_t since, Core::TimePoint now);
    Actions receivePush(const std::string &peer, SettingsDelta delta, Peers peers, Core::TimePoint now);

    /// \brief Takes the rows that answer \a scan, which was sent at \a sentAt.
    Actions receiveTablePage(const ScanTable &scan, std::vector<SettingsRow> rows, Core::TimePoint sentAt, Peers peers, Core::TimePoint now);
    void receiveTableFailure(Core::TimePoint now);

    Actions receiveSnapshot(SettingsDelta snapshot, Peers peers, Core::TimePoint now);
    void receiveSnapshotFailure(bool isMissing, Core::TimePoint now);

    /// \brief Takes the number of processes that poll the table together, as far as it is known.
    void setProcessCount(std::size_t count);

    /// \brief When advance() has to be called next.
    Core::TimePoint nextDeadline() const;

    /// \brief True once there are settings to serve with, or the table is known to hold none.
    bool isRecovered() const;

    /// \brief Every change accepted before this moment is held, but for the time that messages took; nothing if that was never known.
    std::optional<Core::TimePoint> verifiedAt() const;

    const SettingsStore &store() const;

private:
    SettingsDigest digest(Core::TimePoint now) const;
    bool hasFresherProof(const SettingsDigest &theirs, Core::TimePoint now) const;
    void noteVerified(Core::TimePoint moment);
    Core::TimePoint nextScan() const;
    ScanTable beginScan(Core::TimePoint now);
    Actions takeMerged(MergeResult result, Peers peers, Core::TimePoint now);

    SettingsReplicaOptions m_options;
    SettingsStore m_store;
    SpreadPlan m_spread;
    FeedPoller m_poller;
    RecoveryPlan m_recovery;
    PushBudget m_pushBudget;
    std::size_t m_pageRows;
    std::size_t m_greetedCount = 0;
    bool m_isScanning = false;
    Core::TimePoint m_catchUpDeadline = Core::TimePoint::max();
    std::optional<Core::TimePoint> m_verifiedAt;
};

} // namespace Verbena::Decisions
