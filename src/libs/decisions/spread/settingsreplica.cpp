#include "settingsreplica.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr std::uint64_t spreadSeed = 1;
constexpr std::uint64_t pollerSeed = 2;
constexpr std::uint64_t recoverySeed = 3;

constexpr std::size_t maximumGreeted = 3; // Peers that a starting process asks at once.

// A digest is answered only if it helps its sender: by something newer, or by a proof that is fresher by this much.
constexpr std::chrono::seconds notableFreshness{1};

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
    , m_spread(options.spread, RandomSource(seed ^ spreadSeed).next(), start)
    , m_poller(options.poller, RandomSource(seed ^ pollerSeed).next(), start)
    , m_recovery(options.recovery, RandomSource(seed ^ recoverySeed).next(), start)
    , m_pushBudget(options.pushBytesPerSecond, options.pushBurstBytes, start)
    , m_pageRows(options.pageRows)
{
}

SettingsReplica::Actions SettingsReplica::advance(Peers peers, Core::TimePoint now)
{
    Actions actions;
    m_spread.expirePull(now);
    if (m_catchUpDeadline <= now) {
        m_store.abandonCatchUp();
        m_catchUpDeadline = Core::TimePoint::max();
    }
    for (const std::string &peer : m_spread.drawExchange(peers, !m_recovery.isRecovered(), now)) {
        actions.emplace_back(SendDigest{peer, digest(now)});
    }
    if (m_recovery.snapshotMoment().value_or(Core::TimePoint::max()) <= now) {
        m_recovery.noteSnapshotStarted();
        actions.emplace_back(ReadSnapshot{});
    }
    if (!m_isScanning && nextScan() <= now) {
        actions.emplace_back(beginScan(now));
    }
    return actions;
}

SettingsReplica::Actions SettingsReplica::greetPeer(const std::string &peer, Core::TimePoint now)
{
    if (m_recovery.isRecovered() || m_greetedCount >= maximumGreeted) {
        return {};
    }
    ++m_greetedCount;
    return {SendDigest{peer, digest(now)}};
}

SettingsReplica::Actions SettingsReplica::receiveDigest(const std::string &peer, const SettingsDigest &theirs, Core::TimePoint now)
{
    m_poller.noteHeard(now);
    const std::uint64_t ours = m_store.revision();
    if (theirs.revision > ours) {
        if (!m_spread.beginPull(peer, now)) {
            m_spread.noteNewer(peer, theirs.revision);
            return {};
        }
        m_recovery.noteProgress(now);
        return {SendPull{peer, m_store.cursor()}};
    }
    const bool isHelpful = theirs.revision < ours || hasFresherProof(theirs, now);
    if (theirs.verifiedAge.has_value()) {
        noteVerified(now - *theirs.verifiedAge);
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
    m_poller.noteHeard(now);
    // Over the budget there is no answer: the peer's deadline passes and it asks another.
    if (!m_pushBudget.isOpen(now)) {
        return {};
    }
    SettingsDelta delta = m_store.deltaSince(since, m_options.pageBytes);
    m_pushBudget.spend(sizeOf(delta), now);
    return {SendPush{peer, std::move(delta)}};
}

SettingsReplica::Actions SettingsReplica::receivePush(const std::string &peer, SettingsDelta delta, Peers peers, Core::TimePoint now)
{
    m_poller.noteHeard(now);
    MergeResult result = m_store.merge(std::move(delta));
    if (result.outcome != MergeOutcome::Continued) {
        m_spread.endPull(peer);
        Actions actions = takeMerged(std::move(result), peers, now);
        const std::optional<std::string> newer = m_spread.takeNewer(m_store.revision());
        if (newer.has_value() && m_spread.beginPull(*newer, now)) {
            actions.emplace_back(SendPull{*newer, m_store.cursor()});
        }
        return actions;
    }
    Actions actions = takeMerged(std::move(result), peers, now);
    if (m_spread.continuePull(peer, now)) {
        m_recovery.noteProgress(now);
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
    Actions actions = takeMerged(m_store.merge(std::move(delta)), peers, now);
    if (!isLast) {
        actions.emplace_back(beginScan(now));
        return actions;
    }
    m_recovery.noteRecovered();
    if (m_store.revision() >= highest) {
        noteVerified(sentAt);
    }
    return actions;
}

void SettingsReplica::receiveTableFailure(Core::TimePoint now)
{
    m_isScanning = false;
    m_poller.noteFailed(now);
}

SettingsReplica::Actions SettingsReplica::receiveSnapshot(SettingsDelta snapshot, Peers peers, Core::TimePoint now)
{
    // What changed since the snapshot is read soon, at the pace at which snapshots are.
    m_poller.requestBy(now + m_options.recovery.snapshotSpread);
    Actions actions = takeMerged(m_store.merge(std::move(snapshot)), peers, now);
    if (!m_recovery.isRecovered()) {
        // An empty snapshot, or one older than what peers have begun to send, is none.
        m_recovery.noteSnapshotFailed(true, now);
    }
    return actions;
}

void SettingsReplica::receiveSnapshotFailure(bool isMissing, Core::TimePoint now)
{
    m_recovery.noteSnapshotFailed(isMissing, now);
}

void SettingsReplica::setProcessCount(std::size_t count)
{
    m_poller.setProcessCount(count);
}

Core::TimePoint SettingsReplica::nextDeadline() const
{
    Core::TimePoint next = std::min({m_spread.nextDeadline(), m_catchUpDeadline, m_recovery.snapshotMoment().value_or(Core::TimePoint::max())});
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

bool SettingsReplica::hasFresherProof(const SettingsDigest &theirs, Core::TimePoint now) const
{
    if (!m_verifiedAt.has_value()) {
        return false;
    }
    return !theirs.verifiedAge.has_value() || *m_verifiedAt > now - *theirs.verifiedAge + notableFreshness;
}

void SettingsReplica::noteVerified(Core::TimePoint moment)
{
    m_verifiedAt = std::max(m_verifiedAt.value_or(moment), moment);
}

Core::TimePoint SettingsReplica::nextScan() const
{
    if (m_recovery.isRecovered()) {
        return m_poller.nextPoll();
    }
    const auto moment = m_recovery.tableMoment();
    return moment.has_value() ? std::max(*moment, m_poller.nextPoll()) : Core::TimePoint::max();
}

ScanTable SettingsReplica::beginScan(Core::TimePoint now)
{
    m_isScanning = true;
    m_poller.noteStarted(now);
    return {m_store.cursor(), m_pageRows};
}

SettingsReplica::Actions SettingsReplica::takeMerged(MergeResult result, Peers peers, Core::TimePoint now)
{
    if (result.outcome == MergeOutcome::Continued) {
        m_catchUpDeadline = now + m_options.catchUpTimeout;
    }
    if (result.outcome != MergeOutcome::Advanced) {
        return {};
    }
    m_catchUpDeadline = Core::TimePoint::max();
    m_recovery.noteRecovered();
    Actions actions;
    actions.emplace_back(PublishSettings{m_store.revision(), std::move(result.changed)});
    for (const std::string &peer : m_spread.drawAnnounced(peers)) {
        actions.emplace_back(SendDigest{peer, digest(now)});
    }
    return actions;
}

} // namespace Verbena::Decisions
