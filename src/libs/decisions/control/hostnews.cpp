#include "hostnews.h"

#include <algorithm>
#include <unordered_set>

namespace Verbena::Decisions {

namespace {

// What a change takes on the wire besides its texts, roughly.
constexpr std::size_t changeOverheadBytes = 24;

int phaseOf(const HostChange &change)
{
    return change.isGone ? 2 : change.host.isLeaving ? 1 : 0;
}

std::size_t sizeOf(const std::vector<HostChange> &changes)
{
    std::size_t bytes = 0;
    for (const HostChange &change : changes) {
        bytes += change.host.name.size() + change.host.address.size() + change.host.failureDomain.size() + changeOverheadBytes;
    }
    return bytes;
}

} // namespace

HostNews::HostNews(const HostNewsOptions &options, std::uint64_t seed, Core::TimePoint now)
    : m_options(options)
    , m_random(seed)
    , m_budget(options.bytesPerSecond, options.burstBytes, now)
{
}

bool HostNews::takeList(const std::vector<Store::HostEntry> &hosts, Core::TimePoint fetchedAt, Core::TimePoint now)
{
    bool isChanged = false;
    std::unordered_set<std::string> listed;
    for (const Store::HostEntry &host : hosts) {
        listed.insert(host.name);
        if (take({host, false}, now)) {
            isChanged = true;
        }
    }
    std::vector<HostChange> gone;
    for (const auto &[name, known] : m_hosts) {
        // A host that a peer told of after this list was asked for may be missing in it.
        if (!known.change.isGone && !listed.contains(name) && known.learnedAt < fetchedAt) {
            gone.push_back({known.change.host, true});
        }
    }
    // An empty list is taken for a fault of the platform.
    for (const HostChange &change : hosts.empty() ? std::vector<HostChange>() : gone) {
        isChanged = take(change, now) || isChanged;
    }
    forgetGone(now);
    m_isComplete = m_isComplete || !hosts.empty();
    return isChanged;
}

bool HostNews::takeChanges(const std::vector<HostChange> &changes, Core::TimePoint now)
{
    bool isChanged = false;
    for (const HostChange &change : changes) {
        isChanged = take(change, now) || isChanged;
    }
    return isChanged;
}

bool HostNews::isComplete() const
{
    return m_isComplete;
}

std::vector<Store::HostEntry> HostNews::hosts() const
{
    std::vector<Store::HostEntry> entries;
    entries.reserve(m_hosts.size());
    for (const auto &[name, known] : m_hosts) {
        if (!known.change.isGone) {
            entries.push_back(known.change.host);
        }
    }
    std::sort(entries.begin(), entries.end(), [](const auto &left, const auto &right) { return left.name < right.name; });
    return entries;
}

bool HostNews::take(const HostChange &change, Core::TimePoint now)
{
    const auto [entry, isNew] = m_hosts.try_emplace(change.host.name);
    Known &known = entry->second;
    if (!isNew && !isNewer(known, change)) {
        return false;
    }
    known.change = change;
    known.learnedAt = now;
    // Everybody fetches a first list for himself; it is no news.
    if (m_isComplete) {
        spread(change.host.name);
    }
    return true;
}

bool HostNews::isNewer(const Known &known, const HostChange &change)
{
    if (known.change.host.incarnation == change.host.incarnation) {
        return phaseOf(change) > phaseOf(known.change);
    }
    return change.host.incarnation > known.change.host.incarnation;
}

void HostNews::spread(const std::string &name)
{
    std::erase_if(m_rumours, [&](const Rumour &rumour) { return rumour.name == name; });
    m_rumours.push_front({name, m_options.rounds});
    m_nextRound = {};
}

void HostNews::forgetGone(Core::TimePoint now)
{
    std::erase_if(m_hosts, [&](const auto &entry) { return entry.second.change.isGone && entry.second.learnedAt + m_options.goneRetention < now; });
}

std::vector<SendHostChanges> HostNews::advance(std::span<const std::string> peers, Core::TimePoint now)
{
    std::vector<SendHostChanges> messages;
    if (m_rumours.empty() || peers.empty() || now < m_nextRound || !m_budget.mayConsume(now)) {
        return messages;
    }
    const std::vector<HostChange> changes = nextBatch();
    for (std::string &peer : m_random.sample(peers, m_options.fanout)) {
        m_budget.consume(sizeOf(changes), now);
        messages.push_back({std::move(peer), changes});
    }
    m_nextRound = now + m_options.roundInterval;
    return messages;
}

// The newest first; what has rounds left goes behind what has not been sent yet.
std::vector<HostChange> HostNews::nextBatch()
{
    std::vector<HostChange> changes;
    std::vector<Rumour> again;
    while (!m_rumours.empty() && changes.size() < m_options.changesPerMessage) {
        Rumour rumour = std::move(m_rumours.front());
        m_rumours.pop_front();
        const auto known = m_hosts.find(rumour.name);
        if (known == m_hosts.end()) {
            continue;
        }
        changes.push_back(known->second.change);
        if (--rumour.roundsLeft > 0) {
            again.push_back(std::move(rumour));
        }
    }
    m_rumours.insert(m_rumours.end(), again.begin(), again.end());
    return changes;
}

std::optional<Core::TimePoint> HostNews::nextDeadline(Core::TimePoint now) const
{
    if (m_rumours.empty()) {
        return std::nullopt;
    }
    return m_budget.mayConsume(now) ? m_nextRound : std::max(m_nextRound, now + m_options.roundInterval);
}

} // namespace Verbena::Decisions
