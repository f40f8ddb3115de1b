#pragma once

#include "gatetypes.h"

#include <deque>
#include <list>
#include <map>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Identifies a block of an engine's cache; assigned by the engine.
enum class BlockId : std::uint64_t {};

/// \brief A change of an engine's cache as reported by the engine. Events may be late, reordered or lost.
struct CacheEvent
{
    enum class Kind {
        Stored,
        Removed,
        Cleared,
    };

    std::uint64_t incarnation = 0; ///< Incarnation of the engine; increases with every start.
    std::uint64_t sequence = 0; ///< Sequence number, counted from 1 within an incarnation without gaps.
    Kind kind = Kind::Stored;
    std::vector<BlockId> blocks;
    RequestRef request; ///< Kind::Stored only: the run whose prompt filled the blocks.
    std::uint32_t firstPiece = 0; ///< Kind::Stored only: index of the prompt piece in the first block; further blocks hold the following pieces.
};

/// \brief Limits and timeouts of a CacheIndex.
struct CacheIndexOptions
{
    std::size_t maximumEntries = 65536;
    std::size_t maximumRuns = 1024; ///< Number of runs whose keys are kept to interpret late events.
    std::size_t maximumBufferedEvents = 64; ///< Number of events that are buffered while an earlier one is missing.
    std::chrono::milliseconds reorderTimeout{200}; ///< Time to wait for a missing event before it is considered lost.
    std::chrono::milliseconds initialAssumedLifetime{10000}; ///< Initial estimate of how long a prefix stays cached when no event reports on it.
};

/// \brief Tracks which prefixes the local engine has in its cache.
///
/// A prefix is *confirmed* as long as the events, received without a gap, show that its block is in the cache. It is *likely*
/// while this is uncertain: after a gap, or where the engine sends no events and only its answers report how much was cached.
class CacheIndex
{
public:
    explicit CacheIndex(const CacheIndexOptions &options = {});

    /// \brief Sets the engine's incarnation. A later one than before clears the index; an earlier one is ignored.
    void setIncarnation(std::uint64_t incarnation);

    /// \brief Records that a run with prefixes \a keys of \a version was started at the engine.
    void recordRunStarted(const RequestRef &ref, const ModelVersion &version, const std::vector<PrefixKey> &keys);

    /// \brief Records that the run's complete prompt was processed.
    ///
    /// \a cachedPieces is the number of its pieces that were found in the cache, if the engine reported it.
    void recordPromptProcessed(const RequestRef &ref, std::optional<std::uint32_t> cachedPieces, Core::TimePoint now);

    /// \brief Applies \a event, or buffers it while an earlier event is missing.
    void handleEvent(const CacheEvent &event, Core::TimePoint now);

    /// \brief Skips missing events whose timeout has expired.
    void tick(Core::TimePoint now);

    /// \brief Returns the time at which tick() must be called, or nothing if no event is missing.
    std::optional<Core::TimePoint> nextDeadline() const;

    /// \brief Removes all prefixes of \a version after its weights have been unloaded.
    void removeVersion(const ModelVersion &version);

    /// \brief Returns how many of \a keys, from the first on, are confirmed to be cached.
    std::uint32_t confirmedPieces(const std::vector<PrefixKey> &keys) const;

    /// \brief Returns how many of \a keys, from the first on, are confirmed or likely to be cached.
    std::uint32_t likelyPieces(const std::vector<PrefixKey> &keys, Core::TimePoint now) const;

    std::uint64_t incarnation() const;

    /// \brief Returns the sequence number up to which all events were applied or skipped. Confirmed prefixes are valid as of this event.
    std::uint64_t lastSequence() const;
    std::size_t size() const;

    /// \brief Returns how many times missing events were given up as lost.
    std::uint64_t lostEventGaps() const;

private:
    struct Entry
    {
        PrefixKey key{};
        BlockId block{};
        Core::TimePoint assumedUntil; ///< Time until which the prefix is assumed to be cached without an event.
        std::uint32_t generation = 0; ///< Number of lost gaps at the time when the block was filled.
        std::uint16_t version = 0; ///< Index in m_versions.
        bool hasBlock = false;
    };

    struct Run
    {
        std::vector<PrefixKey> keys;
        std::uint64_t incarnation = 0;
        std::uint16_t version = 0;
    };

    using EntryList = std::list<Entry>;

    bool isBlockCurrent(const Entry &entry) const;
    bool isConfirmed(const Entry &entry) const;
    bool isLikely(const Entry &entry, Core::TimePoint now) const;
    std::uint16_t versionIndex(const ModelVersion &version);
    const Run *findRun(const RequestRef &ref) const;
    void applyReady(Core::TimePoint now);
    void apply(const CacheEvent &event);
    void applyStored(const CacheEvent &event);
    void applyRemoved(const CacheEvent &event);
    void skipMissingEvents(Core::TimePoint now);
    void assumeCached(const Run &run, std::size_t piece, Core::TimePoint now);
    void updateAssumedLifetime(const Run &run, std::uint32_t cachedPieces, Core::TimePoint now);
    Entry &findOrCreateEntry(PrefixKey key);
    void erase(EntryList::iterator entry);
    void clear();

    CacheIndexOptions m_options;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_lastSequence = 0;
    std::uint32_t m_generation = 0; ///< Number of lost gaps; blocks of earlier generations are uncertain.
    bool m_hasEvents = false; ///< Whether the engine has sent any event.
    std::chrono::milliseconds m_assumedLifetime;
    std::map<std::uint64_t, CacheEvent> m_bufferedEvents;
    std::optional<Core::TimePoint> m_gapDeadline; ///< Time at which the missing events are skipped.
    Core::TimePoint m_uncertainUntil; ///< Time until which prefixes that the last gap made uncertain are still likely.
    EntryList m_entries; ///< Most recently used first.
    std::unordered_map<PrefixKey, EntryList::iterator> m_byKey;
    std::unordered_map<BlockId, EntryList::iterator> m_byBlock;
    std::unordered_map<RequestRef, Run, RequestRefHash> m_runs;
    std::deque<RequestRef> m_runOrder;
    std::vector<ModelVersion> m_versions;
};

} // namespace Verbena::Decisions
