#include "settingsreplica.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr std::uint64_t gossipSeed = 1;
constexpr std::uint64_t pollerSeed = 2;
constexpr std::uint64_t recoverySeed = 3;

constexpr std::size_t maximumInitialPeers = 3; // Number of peers that a starting process asks immediately.

// A digest is answered only if the answer helps its sender: if this process has newer settings, or verified its settings more recently by
// at least this much.
constexpr std::chrono::seconds minimumFreshnessGain{1};

std::size_t sizeOf(const SettingsDelta &delta)
{
    std::size_t bytes = 0;
    for (const SettingsRow &row : delta.rows) {
        bytes += row.path.size() + row.content.size();
    }
    return bytes;
}

} // namespace

SettingsReplica::SettingsReplica(const SettingsReplicaOptions &options, std::uint64_t seed, Core::TimePoint start)
    : m_options(options)
    , m_gossip(options.gossip, RandomSource(seed ^ gossipSeed).next(), start)
    , m_poller(options.poller, RandomSource(seed ^ pollerSeed).next(), start)
    , m_recovery(options.recovery, RandomSource(seed ^ recoverySeed).next(), start)
    , m_pushBudget(options.pushBytesPerSecond, options.pushBurstBytes, start)
    , m_pageRows(options.pageRows)
{
}

SettingsReplica::Actions SettingsReplica::advance(Peers peers, Core::TimePoint now)
{
    Actions actions;
    m_gossip.expirePull(now);
    if (m_catchUpDeadline <= now) {
        m_store.abandonCatchUp();
        m_catchUpDeadline = Core::TimePoint::max();
    }
    for (const std::string &peer : m_gossip.sampleExchangePeers(peers, !m_recovery.isRecovered(), now)) {
        actions.emplace_back(SendDigest{peer, digest(now)});
    }
    if (m_recovery.snapshotReadAt().value_or(Core::TimePoint::max()) <= now) {
        m_recovery.markSnapshotStarted();
        actions.emplace_back(ReadSnapshot{});
    }
    if (!m_isScanning && nextScan() <= now) {
        actions.emplace_back(beginScan(now));
    }
    return actions;
}

SettingsReplica::Actions SettingsReplica::handlePeerConnected(const std::string &peer, Core::TimePoint now)
{
    if (m_recovery.isRecovered() || m_initialPeerCount >= maximumInitialPeers) {
        return {};
    }
    ++m_initialPeerCount;
    return {SendDigest{peer, digest(now)}};
}

SettingsReplica::Actions SettingsReplica::receiveDigest(const std::string &peer, const SettingsDigest &theirs, Core::TimePoint now)
{
    m_poller.recordPeerMessage(now);
    const std::uint64_t ours = m_store.revision();
    if (theirs.revision > ours) {
        if (!m_gossip.beginPull(peer, now)) {
            m_gossip.recordNewerPeer(peer, theirs.revision);
            return {};
        }
        m_recovery.handleProgress(now);
        return {SendPull{peer, m_store.cursor()}};
    }
    const bool isHelpful = theirs.revision < ours || hasFresherVerification(theirs, now);
    if (theirs.verifiedAge.has_value()) {
        updateVerifiedAt(now - *theirs.verifiedAge);
    }
    if (theirs.revision == ours && theirs.hash != m_store.hash()) {
        return {ReportDivergence{peer, ours}};
    }
    if (isHelpful) {
        return {SendDigest{peer, digest(now)}};
    }
    return {};
}

SettingsReplica::Actions SettingsReplica::receivePull(const std::string &peer, std::uint64_t since, Core::TimePoint now)
{
    m_poller.recordPeerMessage(now);
    // Without budget there is no answer: the pull of the peer times out, and it asks another process.
    if (!m_pushBudget.mayConsume(now)) {
        return {};
    }
    SettingsDelta delta = m_store.deltaSince(since, m_options.pageBytes);
    m_pushBudget.consume(sizeOf(delta), now);
    return {SendPush{peer, std::move(delta)}};
}

SettingsReplica::Actions SettingsReplica::receivePush(const std::string &peer, SettingsDelta delta, Peers peers, Core::TimePoint now)
{
    m_poller.recordPeerMessage(now);
    MergeResult result = m_store.merge(std::move(delta));
    if (result.outcome != MergeOutcome::Continued) {
        m_gossip.endPull(peer);
        Actions actions = handleMergeResult(std::move(result), peers, now);
        const std::optional<std::string> newer = m_gossip.takeNewerPeer(m_store.revision());
        if (newer.has_value() && m_gossip.beginPull(*newer, now)) {
            actions.emplace_back(SendPull{*newer, m_store.cursor()});
        }
        return actions;
    }
    Actions actions = handleMergeResult(std::move(result), peers, now);
    if (m_gossip.continuePull(peer, now)) {
        m_recovery.handleProgress(now);
        actions.emplace_back(SendPull{peer, m_store.cursor()});
    }
    return actions;
}

SettingsReplica::Actions SettingsReplica::receiveTablePage(
    const ScanTable &scan, std::vector<SettingsRow> rows, Core::TimePoint sentAt, Peers peers, Core::TimePoint now)
{
    m_isScanning = false;
    const bool isOneCommit = rows.size() >= scan.limit && rows.front().revision == rows.back().revision;
    m_pageRows = isOneCommit ? scan.limit * 2 : m_options.pageRows;
    SettingsDelta delta = deltaOfTablePage(scan.since, scan.limit, std::move(rows));
    const std::uint64_t highest = delta.highest;
    const bool isLast = delta.isLast();
    Actions actions = handleMergeResult(m_store.merge(std::move(delta)), peers, now);
    if (!isLast) {
        actions.emplace_back(beginScan(now));
        return actions;
    }
    m_recovery.markRecovered();
    if (m_store.revision() >= highest) {
        updateVerifiedAt(sentAt);
    }
    return actions;
}

void SettingsReplica::receiveTableFailure(Core::TimePoint now)
{
    m_isScanning = false;
    m_poller.handleFailure(now);
}

SettingsReplica::Actions SettingsReplica::receiveSnapshot(SettingsDelta snapshot, Peers peers, Core::TimePoint now)
{
    // The changes since the snapshot are read from the table soon, spread over the same interval as the reads of the snapshot.
    m_poller.requestPollBy(now + m_options.recovery.snapshotSpread);
    Actions actions = handleMergeResult(m_store.merge(std::move(snapshot)), peers, now);
    if (!m_recovery.isRecovered()) {
        // An empty snapshot, or one older than the settings that peers have begun to send, counts as missing.
        m_recovery.handleSnapshotFailure(true, now);
    }
    return actions;
}

void SettingsReplica::receiveSnapshotFailure(bool isMissing, Core::TimePoint now)
{
    m_recovery.handleSnapshotFailure(isMissing, now);
}

void SettingsReplica::setProcessCount(std::size_t count)
{
    m_poller.setProcessCount(count);
}

Core::TimePoint SettingsReplica::nextDeadline() const
{
    Core::TimePoint next = std::min({m_gossip.nextDeadline(), m_catchUpDeadline, m_recovery.snapshotReadAt().value_or(Core::TimePoint::max())});
    return m_isScanning ? next : std::min(next, nextScan());
}

bool SettingsReplica::isRecovered() const
{
    return m_recovery.isRecovered();
}

std::optional<Core::TimePoint> SettingsReplica::verifiedAt() const
{
    return m_verifiedAt;
}

const SettingsStore &SettingsReplica::store() const
{
    return m_store;
}

SettingsDigest SettingsReplica::digest(Core::TimePoint now) const
{
    SettingsDigest digest{m_store.revision(), m_store.hash(), std::nullopt};
    if (m_verifiedAt.has_value()) {
        digest.verifiedAge = std::chrono::duration_cast<std::chrono::microseconds>(now - *m_verifiedAt);
    }
    return digest;
}

bool SettingsReplica::hasFresherVerification(const SettingsDigest &theirs, Core::TimePoint now) const
{
    if (!m_verifiedAt.has_value()) {
        return false;
    }
    return !theirs.verifiedAge.has_value() || *m_verifiedAt > now - *theirs.verifiedAge + minimumFreshnessGain;
}

void SettingsReplica::updateVerifiedAt(Core::TimePoint time)
{
    m_verifiedAt = std::max(m_verifiedAt.value_or(time), time);
}

Core::TimePoint SettingsReplica::nextScan() const
{
    if (m_recovery.isRecovered()) {
        return m_poller.nextPoll();
    }
    const auto tableReadAt = m_recovery.tableReadAt();
    return tableReadAt.has_value() ? std::max(*tableReadAt, m_poller.nextPoll()) : Core::TimePoint::max();
}

ScanTable SettingsReplica::beginScan(Core::TimePoint now)
{
    m_isScanning = true;
    m_poller.markStarted(now);
    return {m_store.cursor(), m_pageRows};
}

SettingsReplica::Actions SettingsReplica::handleMergeResult(MergeResult result, Peers peers, Core::TimePoint now)
{
    if (result.outcome == MergeOutcome::Continued) {
        m_catchUpDeadline = now + m_options.catchUpTimeout;
    }
    if (result.outcome != MergeOutcome::Advanced) {
        return {};
    }
    m_catchUpDeadline = Core::TimePoint::max();
    m_recovery.markRecovered();
    Actions actions;
    actions.emplace_back(PublishSettings{m_store.revision(), std::move(result.changed)});
    for (const std::string &peer : m_gossip.sampleAnnouncementPeers(peers)) {
        actions.emplace_back(SendDigest{peer, digest(now)});
    }
    return actions;
}

} // namespace Verbena::Decisions
