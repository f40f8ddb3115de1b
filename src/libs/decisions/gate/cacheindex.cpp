#include "cacheindex.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr std::chrono::milliseconds shortestAssumedLife(500);
constexpr std::chrono::milliseconds longestAssumedLife(600000);

} // namespace

CacheIndex::CacheIndex(const CacheIndexOptions &options)
    : m_options(options)
    , m_assumedLife(options.firstAssumedLife)
{
}

void CacheIndex::noteIncarnation(std::uint64_t incarnation)
{
    if (incarnation <= m_incarnation) {
        return;
    }
    m_incarnation = incarnation;
    m_lastSequence = 0;
    m_heldBack.clear();
    m_missingUntil.reset();
    forgetAll();
}

void CacheIndex::noteRunStarted(const RequestRef &ref, const ModelVersion &version, const std::vector<PrefixKey> &keys)
{
    if (m_runs.contains(ref)) {
        return;
    }
    m_runs.emplace(ref, Run{keys, m_incarnation, versionNumber(version)});
    m_runOrder.push_back(ref);
    if (m_runOrder.size() > m_options.maximumRuns) {
        m_runs.erase(m_runOrder.front());
        m_runOrder.pop_front();
    }
}

void CacheIndex::notePromptProcessed(const RequestRef &ref, std::optional<std::uint32_t> cachedPieces, Core::TimePoint now)
{
    const Run *run = findRun(ref);
    if (run == nullptr) {
        return;
    }
    if (cachedPieces) {
        learnLife(*run, *cachedPieces, now);
    }
    for (std::size_t piece = 0; piece < run->keys.size(); ++piece) {
        const bool wasCached = cachedPieces && piece < *cachedPieces;
        // What was filled anew is told by events, if the engine sends them; what it found is worth believing for a while.
        if (wasCached || !m_hasEvents || m_byKey.contains(run->keys[piece])) {
            assume(*run, piece, now);
        }
    }
}

void CacheIndex::noteEvent(const CacheEvent &event, Core::TimePoint now)
{
    noteIncarnation(event.incarnation);
    if (event.incarnation < m_incarnation || event.sequence <= m_lastSequence) {
        return;
    }
    m_hasEvents = true;
    m_heldBack.emplace(event.sequence, event);
    applyReady(now);
    if (m_heldBack.size() > m_options.maximumHeldBack) {
        giveUpOnMissing(now);
        applyReady(now);
    }
}

void CacheIndex::tick(Core::TimePoint now)
{
    if (m_missingUntil && *m_missingUntil <= now) {
        giveUpOnMissing(now);
        applyReady(now);
    }
}

std::optional<Core::TimePoint> CacheIndex::nextDeadline() const
{
    return m_missingUntil;
}

void CacheIndex::dropVersion(const ModelVersion &version)
{
    const std::uint16_t number = versionNumber(version);
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto next = std::next(entry);
        if (entry->version == number) {
            erase(entry);
        }
        entry = next;
    }
    // Events of these runs may still come, but what they tell of is gone.
    std::erase_if(m_runs, [number](const auto &run) { return run.second.version == number; });
    std::erase_if(m_runOrder, [this](const RequestRef &ref) { return !m_runs.contains(ref); });
}

std::uint32_t CacheIndex::knownPieces(const std::vector<PrefixKey> &keys) const
{
    std::uint32_t count = 0;
    for (const PrefixKey key : keys) {
        const auto found = m_byKey.find(key);
        if (found == m_byKey.end() || !isKnown(*found->second)) {
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

std::uint64_t CacheIndex::lostGaps() const
{
    return m_generation;
}

bool CacheIndex::isConfirmed(const Entry &entry) const
{
    return entry.hasBlock && entry.generation == m_generation;
}

// While an event is missing, any block may have been removed by it; so nothing is known until it comes or is given up.
bool CacheIndex::isKnown(const Entry &entry) const
{
    return isConfirmed(entry) && m_heldBack.empty();
}

bool CacheIndex::isLikely(const Entry &entry, Core::TimePoint now) const
{
    const bool isNewlyDoubted = entry.hasBlock && entry.generation + 1 == m_generation;
    return isConfirmed(entry) || now < entry.assumedUntil || (isNewlyDoubted && now < m_doubtedUntil);
}

std::uint16_t CacheIndex::versionNumber(const ModelVersion &version)
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
    while (!m_heldBack.empty() && m_heldBack.begin()->first == m_lastSequence + 1) {
        const CacheEvent event = std::move(m_heldBack.begin()->second);
        m_heldBack.erase(m_heldBack.begin());
        m_lastSequence = event.sequence;
        apply(event);
        m_missingUntil.reset();
    }
    if (!m_heldBack.empty() && !m_missingUntil) {
        m_missingUntil = now + m_options.reorderWait;
    }
}

void CacheIndex::apply(const CacheEvent &event)
{
    switch (event.kind) {
    case CacheEvent::Kind::Stored:
        store(event);
        break;
    case CacheEvent::Kind::Removed:
        remove(event);
        break;
    case CacheEvent::Kind::Cleared:
        forgetAll();
        break;
    }
}

void CacheIndex::store(const CacheEvent &event)
{
    const Run *run = findRun(event.request);
    if (run == nullptr) {
        return;
    }
    for (std::size_t i = 0; i < event.blocks.size() && event.firstPiece + i < run->keys.size(); ++i) {
        const auto found = m_byBlock.find(event.blocks[i]);
        const PrefixKey key = run->keys[event.firstPiece + i];
        if (found != m_byBlock.end() && found->second->key != key) {
            // The engine filled the block anew, so what it held before is gone. One block never stands behind two prefixes.
            erase(found->second);
        }
        Entry &entry = entryFor(key);
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

void CacheIndex::remove(const CacheEvent &event)
{
    for (const BlockId block : event.blocks) {
        const auto found = m_byBlock.find(block);
        if (found != m_byBlock.end()) {
            erase(found->second);
        }
    }
}

void CacheIndex::giveUpOnMissing(Core::TimePoint now)
{
    m_missingUntil.reset();
    if (m_heldBack.empty()) {
        return;
    }
    ++m_generation;
    m_doubtedUntil = now + m_assumedLife;
    m_lastSequence = m_heldBack.begin()->first - 1;
}

// An answer that found a prefix does not make it known again: events that were lost may have moved it to another block,
// and then its removal could not be recognised.
void CacheIndex::assume(const Run &run, std::size_t piece, Core::TimePoint now)
{
    Entry &entry = entryFor(run.keys[piece]);
    entry.version = run.version;
    entry.assumedUntil = now + m_assumedLife;
}

// Assumes a shorter life after each miss and a longer one after each hit on what was nearly given up.
void CacheIndex::learnLife(const Run &run, std::uint32_t cachedPieces, Core::TimePoint now)
{
    for (std::size_t piece = 0; piece < run.keys.size(); ++piece) {
        const auto found = m_byKey.find(run.keys[piece]);
        if (found == m_byKey.end() || isConfirmed(*found->second)) {
            continue;
        }
        const bool isAssumed = isLikely(*found->second, now);
        if (piece >= cachedPieces && isAssumed) {
            m_assumedLife = std::max(shortestAssumedLife, m_assumedLife * 3 / 4);
            return;
        }
        if (piece < cachedPieces && !isAssumed) {
            m_assumedLife = std::min(longestAssumedLife, m_assumedLife * 5 / 4);
            return;
        }
    }
}

CacheIndex::Entry &CacheIndex::entryFor(PrefixKey key)
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

void CacheIndex::forgetAll()
{
    m_entries.clear();
    m_byKey.clear();
    m_byBlock.clear();
}

} // namespace Verbena::Decisions
