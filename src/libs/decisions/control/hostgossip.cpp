#include "hostgossip.h"

#include <algorithm>
#include <unordered_set>

namespace Verbena::Decisions {

namespace {

// Approximate encoded size of a change without its strings, in bytes.
constexpr std::size_t changeOverheadBytes = 24;

int stateRank(const HostChange &change)
{
    return change.isGone ? 2 : change.host.isLeaving ? 1 : 0;
}

std::size_t encodedSize(const std::vector<HostChange> &changes)
{
    std::size_t bytes = 0;
    for (const HostChange &change : changes) {
        bytes += change.host.name.size() + change.host.address.size() + change.host.failureDomain.size() + changeOverheadBytes;
    }
    return bytes;
}

} // namespace

HostGossip::HostGossip(const HostGossipOptions &options, std::uint64_t seed, Core::TimePoint now)
    : m_options(options)
    , m_random(seed)
    , m_budget(options.bytesPerSecond, options.burstBytes, now)
{
}

bool HostGossip::applyList(const std::vector<Store::HostEntry> &hosts, Core::TimePoint fetchedAt, Core::TimePoint now)
{
    bool isChanged = false;
    std::unordered_set<std::string> listed;
    for (const Store::HostEntry &host : hosts) {
        listed.insert(host.name);
        if (apply({host, false}, now)) {
            isChanged = true;
        }
    }
    std::vector<HostChange> gone;
    for (const auto &[name, entry] : m_hosts) {
        // A host that a peer reported after this list was requested may be missing in the list.
        if (!entry.change.isGone && !listed.contains(name) && entry.recordedAt < fetchedAt) {
            gone.push_back({entry.change.host, true});
        }
    }
    // An empty list is treated as a fault of the platform.
    for (const HostChange &change : hosts.empty() ? std::vector<HostChange>() : gone) {
        isChanged = apply(change, now) || isChanged;
    }
    evictGoneHosts(now);
    m_isComplete = m_isComplete || !hosts.empty();
    return isChanged;
}

bool HostGossip::applyChanges(const std::vector<HostChange> &changes, Core::TimePoint now)
{
    bool isChanged = false;
    for (const HostChange &change : changes) {
        isChanged = apply(change, now) || isChanged;
    }
    return isChanged;
}

bool HostGossip::isComplete() const
{
    return m_isComplete;
}

std::vector<Store::HostEntry> HostGossip::hosts() const
{
    std::vector<Store::HostEntry> entries;
    entries.reserve(m_hosts.size());
    for (const auto &[name, entry] : m_hosts) {
        if (!entry.change.isGone) {
            entries.push_back(entry.change.host);
        }
    }
    std::sort(entries.begin(), entries.end(), [](const auto &left, const auto &right) { return left.name < right.name; });
    return entries;
}

bool HostGossip::apply(const HostChange &change, Core::TimePoint now)
{
    const auto [position, isNew] = m_hosts.try_emplace(change.host.name);
    Entry &entry = position->second;
    if (!isNew && !isNewer(entry, change)) {
        return false;
    }
    entry.change = change;
    entry.recordedAt = now;
    // Each process fetches its first list itself, so it need not be sent.
    if (m_isComplete) {
        queueUpdate(change.host.name);
    }
    return true;
}

bool HostGossip::isNewer(const Entry &entry, const HostChange &change)
{
    if (entry.change.host.incarnation == change.host.incarnation) {
        return stateRank(change) > stateRank(entry.change);
    }
    return change.host.incarnation > entry.change.host.incarnation;
}

void HostGossip::queueUpdate(const std::string &name)
{
    std::erase_if(m_pendingUpdates, [&](const PendingUpdate &update) { return update.name == name; });
    m_pendingUpdates.push_front({name, m_options.rounds});
    m_nextRound = {};
}

void HostGossip::evictGoneHosts(Core::TimePoint now)
{
    std::erase_if(m_hosts, [&](const auto &entry) { return entry.second.change.isGone && entry.second.recordedAt + m_options.goneRetention < now; });
}

std::vector<SendHostChanges> HostGossip::advance(std::span<const std::string> peers, Core::TimePoint now)
{
    std::vector<SendHostChanges> messages;
    if (m_pendingUpdates.empty() || peers.empty() || now < m_nextRound || !m_budget.mayConsume(now)) {
        return messages;
    }
    const std::vector<HostChange> changes = takeBatch();
    for (std::string &peer : m_random.sample(peers, m_options.fanout)) {
        m_budget.consume(encodedSize(changes), now);
        messages.push_back({std::move(peer), changes});
    }
    m_nextRound = now + m_options.roundInterval;
    return messages;
}

// Newest updates first. Updates with rounds left are queued behind those that have not been sent yet.
std::vector<HostChange> HostGossip::takeBatch()
{
    std::vector<HostChange> changes;
    std::vector<PendingUpdate> repeated;
    while (!m_pendingUpdates.empty() && changes.size() < m_options.changesPerMessage) {
        PendingUpdate update = std::move(m_pendingUpdates.front());
        m_pendingUpdates.pop_front();
        const auto entry = m_hosts.find(update.name);
        if (entry == m_hosts.end()) {
            continue;
        }
        changes.push_back(entry->second.change);
        if (--update.roundsLeft > 0) {
            repeated.push_back(std::move(update));
        }
    }
    m_pendingUpdates.insert(m_pendingUpdates.end(), repeated.begin(), repeated.end());
    return changes;
}

std::optional<Core::TimePoint> HostGossip::nextDeadline(Core::TimePoint now) const
{
    if (m_pendingUpdates.empty()) {
        return std::nullopt;
    }
    return m_budget.mayConsume(now) ? m_nextRound : std::max(m_nextRound, now + m_options.roundInterval);
}

} // namespace Verbena::Decisions
