#pragma once

#include "bytebudget.h"
#include "feedpoller.h"
#include "gossipplan.h"
#include "recoveryplan.h"
#include "settingsstore.h"

#include <span>
#include <variant>

namespace Verbena::Decisions {

/// \brief Action: sends the digest of the held settings to \a peer.
struct SendDigest
{
    std::string peer;
    SettingsDigest digest;
};

/// \brief Action: requests the changes after the revision \a since from \a peer.
struct SendPull
{
    std::string peer;
    std::uint64_t since = 0;
};

/// \brief Action: sends rows to \a peer.
struct SendPush
{
    std::string peer;
    SettingsDelta delta;
};

/// \brief Action: reads up to \a limit rows of the table that changed after the revision \a since.
///
/// The answer is passed to receiveTablePage() or receiveTableFailure().
struct ScanTable
{
    std::uint64_t since = 0;
    std::size_t limit = 0;
};

/// \brief Action: reads the snapshot. The answer is passed to receiveSnapshot() or receiveSnapshotFailure().
struct ReadSnapshot
{
};

/// \brief Action: applies the changed \a rows, which lead to \a revision, to the settings in force.
struct PublishSettings
{
    std::uint64_t revision = 0;
    std::vector<SettingsRow> rows;
};

/// \brief Action: reports to the operators that \a peer holds other rows at the same \a revision, which must never happen.
struct ReportDivergence
{
    std::string peer;
    std::uint64_t revision = 0;
};

using ReplicaAction = std::variant<SendDigest, SendPull, SendPush, ScanTable, ReadSnapshot, PublishSettings, ReportDivergence>;

/// \brief Options of a SettingsReplica.
struct SettingsReplicaOptions
{
    GossipPlanOptions gossip;
    FeedPollerOptions poller;
    RecoveryPlanOptions recovery;
    std::size_t pageBytes = 256 * 1024; ///< Approximate maximum size of one push.
    std::size_t pageRows = 500; ///< Number of rows of one scan of the table.
    std::size_t pushBytesPerSecond = 16 * 1024 * 1024; ///< Rate at which rows are sent to peers, mostly to starting ones.
    std::size_t pushBurstBytes = 16 * 1024 * 1024; ///< Bytes that may be sent at once; the whole tree of 18,000 organisations fits.
    std::chrono::milliseconds catchUpTimeout{10'000}; ///< Time without progress after which an incomplete later state is discarded.
};

/// \brief Copy of the settings tree in one process, kept up to date by gossip with peers and by reads of the table.
///
/// Each event returns the actions to execute. The parameter \a peers contains all peers that can currently be reached.
class SettingsReplica
{
public:
    using Actions = std::vector<ReplicaAction>;
    using Peers = std::span<const std::string>;

    SettingsReplica(const SettingsReplicaOptions &options, std::uint64_t seed, Core::TimePoint start);

    /// \brief Handles timeouts and starts whatever is due at \a now.
    Actions advance(Peers peers, Core::TimePoint now);

    /// \brief Handles that \a peer can be reached; a starting process asks the first few peers immediately.
    Actions handlePeerConnected(const std::string &peer, Core::TimePoint now);

    /// \brief Handles the \a digest of \a peer: pulls newer settings, or answers if those of this process are newer or were verified more recently.
    Actions receiveDigest(const std::string &peer, const SettingsDigest &digest, Core::TimePoint now);
    /// \brief Handles the request of \a peer for the changes after \a since.
    Actions receivePull(const std::string &peer, std::uint64_t since, Core::TimePoint now);
    /// \brief Merges the \a delta that \a peer sent and continues with the next pull.
    Actions receivePush(const std::string &peer, SettingsDelta delta, Peers peers, Core::TimePoint now);

    /// \brief Merges the \a rows that answer \a scan, which was sent at \a sentAt.
    Actions receiveTablePage(const ScanTable &scan, std::vector<SettingsRow> rows, Core::TimePoint sentAt, Peers peers, Core::TimePoint now);

    /// \brief Handles that a scan of the table failed.
    void receiveTableFailure(Core::TimePoint now);

    /// \brief Merges the \a snapshot; an empty one, or one older than the settings that peers have begun to send, counts as missing.
    Actions receiveSnapshot(SettingsDelta snapshot, Peers peers, Core::TimePoint now);

    /// \brief Handles that the snapshot could not be read; \a isMissing is set if the object store reported that none exists.
    void receiveSnapshotFailure(bool isMissing, Core::TimePoint now);

    /// \brief Sets the assumed number of processes that poll the table together.
    void setProcessCount(std::size_t count);

    /// \brief Returns when advance() has to be called next.
    Core::TimePoint nextDeadline() const;

    /// \brief Returns whether the process has settings, or the table was read and contains none.
    bool isRecovered() const;

    /// \brief Returns the time up to which all accepted changes are held, apart from the transit time of messages.
    ///
    /// Nothing if this was never verified.
    std::optional<Core::TimePoint> verifiedAt() const;

    /// \brief Returns the rows that this process holds.
    const SettingsStore &store() const;

private:
    SettingsDigest digest(Core::TimePoint now) const;
    bool hasFresherVerification(const SettingsDigest &theirs, Core::TimePoint now) const;
    void updateVerifiedAt(Core::TimePoint time);
    Core::TimePoint nextScan() const;
    ScanTable beginScan(Core::TimePoint now);
    Actions handleMergeResult(MergeResult result, Peers peers, Core::TimePoint now);

    SettingsReplicaOptions m_options;
    SettingsStore m_store;
    GossipPlan m_gossip;
    FeedPoller m_poller;
    RecoveryPlan m_recovery;
    ByteBudget m_pushBudget;
    std::size_t m_pageRows;
    std::size_t m_initialPeerCount = 0;
    bool m_isScanning = false;
    Core::TimePoint m_catchUpDeadline = Core::TimePoint::max();
    std::optional<Core::TimePoint> m_verifiedAt;
};

} // namespace Verbena::Decisions
