#include "cacheindex.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr std::chrono::milliseconds minimumAssumedLifetime(500);
constexpr std::chrono::milliseconds maximumAssumedLifetime(600000);

} // namespace

CacheIndex::CacheIndex(const CacheIndexOptions &options)
    : m_options(options)
    , m_assumedLifetime(options.initialAssumedLifetime)
{
}

void CacheIndex::setIncarnation(std::uint64_t incarnation)
{
    if (incarnation <= m_incarnation) {
        return;
    }
    m_incarnation = incarnation;
    m_lastSequence = 0;
    m_bufferedEvents.clear();
    m_gapDeadline.reset();
    clear();
}

void CacheIndex::recordRunStarted(const RequestRef &ref, const ModelVersion &version, const std::vector<PrefixKey> &keys)
{
    if (m_runs.contains(ref)) {
        return;
    }
    m_runs.emplace(ref, Run{keys, m_incarnation, versionIndex(version)});
    m_runOrder.push_back(ref);
    if (m_runOrder.size() > m_options.maximumRuns) {
        m_runs.erase(m_runOrder.front());
        m_runOrder.pop_front();
    }
}

void CacheIndex::recordPromptProcessed(const RequestRef &ref, std::optional<std::uint32_t> cachedPieces, Core::TimePoint now)
{
    const Run *run = findRun(ref);
    if (run == nullptr) {
        return;
    }
    if (cachedPieces) {
        updateAssumedLifetime(*run, *cachedPieces, now);
    }
    for (std::size_t piece = 0; piece < run->keys.size(); ++piece) {
        const bool wasCached = cachedPieces && piece < *cachedPieces;
        // Newly filled pieces are reported by events if the engine sends them. Pieces found in the cache are assumed to stay for a while.
        if (wasCached || !m_hasEvents || m_byKey.contains(run->keys[piece])) {
            assumeCached(*run, piece, now);
        }
    }
}

void CacheIndex::handleEvent(const CacheEvent &event, Core::TimePoint now)
{
    setIncarnation(event.incarnation);
    if (event.incarnation < m_incarnation || event.sequence <= m_lastSequence) {
        return;
    }
    m_hasEvents = true;
    m_bufferedEvents.emplace(event.sequence, event);
    applyReady(now);
    if (m_bufferedEvents.size() > m_options.maximumBufferedEvents) {
        skipMissingEvents(now);
        applyReady(now);
    }
}

void CacheIndex::tick(Core::TimePoint now)
{
    if (m_gapDeadline && *m_gapDeadline <= now) {
        skipMissingEvents(now);
        applyReady(now);
    }
}

std::optional<Core::TimePoint> CacheIndex::nextDeadline() const
{
    return m_gapDeadline;
}

void CacheIndex::removeVersion(const ModelVersion &version)
{
    const std::uint16_t number = versionIndex(version);
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto next = std::next(entry);
        if (entry->version == number) {
            erase(entry);
        }
        entry = next;
    }
    // Events of these runs may still arrive, but their blocks no longer exist.
    std::erase_if(m_runs, [number](const auto &run) { return run.second.version == number; });
    std::erase_if(m_runOrder, [this](const RequestRef &ref) { return !m_runs.contains(ref); });
}

std::uint32_t CacheIndex::confirmedPieces(const std::vector<PrefixKey> &keys) const
{
    std::uint32_t count = 0;
    for (const PrefixKey key : keys) {
        const auto found = m_byKey.find(key);
        if (found == m_byKey.end() || !isConfirmed(*found->second)) {
            break;
        }
        ++count;
    }
    return count;
}

std::uint32_t CacheIndex::likelyPieces(const std::vector<PrefixKey> &keys, Core::TimePoint now) const
{
    std::uint32_t count = 0;
    for (const PrefixKey key : keys) {
        const auto found = m_byKey.find(key);
        if (found == m_byKey.end() || !isLikely(*found->second, now)) {
            break;
        }
        ++count;
    }
    return count;
}

std::uint64_t CacheIndex::incarnation() const
{
    return m_incarnation;
}

std::uint64_t CacheIndex::lastSequence() const
{
    return m_lastSequence;
}

std::size_t CacheIndex::size() const
{
    return m_entries.size();
}

std::uint64_t CacheIndex::lostEventGaps() const
{
    return m_generation;
}

bool CacheIndex::isBlockCurrent(const Entry &entry) const
{
    return entry.hasBlock && entry.generation == m_generation;
}

// While an event is missing, it may have removed any block. Nothing is confirmed until the event arrives or is skipped.
bool CacheIndex::isConfirmed(const Entry &entry) const
{
    return isBlockCurrent(entry) && m_bufferedEvents.empty();
}

bool CacheIndex::isLikely(const Entry &entry, Core::TimePoint now) const
{
    const bool isRecentlyUncertain = entry.hasBlock && entry.generation + 1 == m_generation;
    return isBlockCurrent(entry) || now < entry.assumedUntil || (isRecentlyUncertain && now < m_uncertainUntil);
}

std::uint16_t CacheIndex::versionIndex(const ModelVersion &version)
{
    const auto found = std::find(m_versions.begin(), m_versions.end(), version);
    const auto number = static_cast<std::uint16_t>(found - m_versions.begin());
    if (found == m_versions.end()) {
        m_versions.push_back(version);
    }
    return number;
}

const CacheIndex::Run *CacheIndex::findRun(const RequestRef &ref) const
{
    const auto found = m_runs.find(ref);
    return found == m_runs.end() || found->second.incarnation != m_incarnation ? nullptr : &found->second;
}

void CacheIndex::applyReady(Core::TimePoint now)
{
    while (!m_bufferedEvents.empty() && m_bufferedEvents.begin()->first == m_lastSequence + 1) {
        const CacheEvent event = std::move(m_bufferedEvents.begin()->second);
        m_bufferedEvents.erase(m_bufferedEvents.begin());
        m_lastSequence = event.sequence;
        apply(event);
        m_gapDeadline.reset();
    }
    if (!m_bufferedEvents.empty() && !m_gapDeadline) {
        m_gapDeadline = now + m_options.reorderTimeout;
    }
}

void CacheIndex::apply(const CacheEvent &event)
{
    switch (event.kind) {
    case CacheEvent::Kind::Stored:
        applyStored(event);
        break;
    case CacheEvent::Kind::Removed:
        applyRemoved(event);
        break;
    case CacheEvent::Kind::Cleared:
        clear();
        break;
    }
}

void CacheIndex::applyStored(const CacheEvent &event)
{
    const Run *run = findRun(event.request);
    if (run == nullptr) {
        return;
    }
    for (std::size_t i = 0; i < event.blocks.size() && event.firstPiece + i < run->keys.size(); ++i) {
        const auto found = m_byBlock.find(event.blocks[i]);
        const PrefixKey key = run->keys[event.firstPiece + i];
        if (found != m_byBlock.end() && found->second->key != key) {
            // The engine has refilled the block, so its previous prefix is gone. A block never belongs to two prefixes.
            erase(found->second);
        }
        Entry &entry = findOrCreateEntry(key);
        if (entry.hasBlock && entry.block != event.blocks[i]) {
            m_byBlock.erase(entry.block);
        }
        entry.block = event.blocks[i];
        entry.hasBlock = true;
        entry.generation = m_generation;
        entry.version = run->version;
        m_byBlock[entry.block] = m_entries.begin();
    }
}

void CacheIndex::applyRemoved(const CacheEvent &event)
{
    for (const BlockId block : event.blocks) {
        const auto found = m_byBlock.find(block);
        if (found != m_byBlock.end()) {
            erase(found->second);
        }
    }
}

void CacheIndex::skipMissingEvents(Core::TimePoint now)
{
    m_gapDeadline.reset();
    if (m_bufferedEvents.empty()) {
        return;
    }
    ++m_generation;
    m_uncertainUntil = now + m_assumedLifetime;
    m_lastSequence = m_bufferedEvents.begin()->first - 1;
}

// An answer that found a prefix does not confirm it again: lost events may have moved the prefix to another block, and then
// its removal could not be recognised.
void CacheIndex::assumeCached(const Run &run, std::size_t piece, Core::TimePoint now)
{
    Entry &entry = findOrCreateEntry(run.keys[piece]);
    entry.version = run.version;
    entry.assumedUntil = now + m_assumedLifetime;
}

// Shortens the assumed lifetime after a miss on a prefix that was assumed to be cached, and extends it after a hit on a prefix
// that no longer was.
void CacheIndex::updateAssumedLifetime(const Run &run, std::uint32_t cachedPieces, Core::TimePoint now)
{
    for (std::size_t piece = 0; piece < run.keys.size(); ++piece) {
        const auto found = m_byKey.find(run.keys[piece]);
        if (found == m_byKey.end() || isBlockCurrent(*found->second)) {
            continue;
        }
        const bool isAssumed = isLikely(*found->second, now);
        if (piece >= cachedPieces && isAssumed) {
            m_assumedLifetime = std::max(minimumAssumedLifetime, m_assumedLifetime * 3 / 4);
            return;
        }
        if (piece < cachedPieces && !isAssumed) {
            m_assumedLifetime = std::min(maximumAssumedLifetime, m_assumedLifetime * 5 / 4);
            return;
        }
    }
}

CacheIndex::Entry &CacheIndex::findOrCreateEntry(PrefixKey key)
{
    const auto found = m_byKey.find(key);
    if (found != m_byKey.end()) {
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        return m_entries.front();
    }
    if (m_entries.size() >= m_options.maximumEntries) {
        erase(std::prev(m_entries.end()));
    }
    m_entries.push_front(Entry{});
    m_entries.front().key = key;
    m_byKey[key] = m_entries.begin();
    return m_entries.front();
}

void CacheIndex::erase(EntryList::iterator entry)
{
    m_byKey.erase(entry->key);
    if (entry->hasBlock) {
        m_byBlock.erase(entry->block);
    }
    m_entries.erase(entry);
}

void CacheIndex::clear()
{
    m_entries.clear();
    m_byKey.clear();
    m_byBlock.clear();
}

} // namespace Verbena::Decisions
