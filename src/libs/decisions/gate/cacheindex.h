#pragma once

#include "gatetypes.h"

#include <deque>
#include <list>
#include <map>
#include <unordered_map>

namespace Verbena::Decisions {

/// \brief Names a block of an engine's cache, in the engine's own words.
enum class BlockId : std::uint64_t {};

/// \brief One change of an engine's cache, as the engine tells it: late, in any order, or never.
struct CacheEvent
{
    enum class Kind {
        Stored,
        Removed,
        Cleared,
    };

    std::uint64_t incarnation = 0; ///< Of the engine; grows with every start.
    std::uint64_t sequence = 0; ///< Counts from 1 within an incarnation, without gaps.
    Kind kind = Kind::Stored;
    std::vector<BlockId> blocks;
    RequestRef request; ///< Stored: the run whose prompt filled the blocks.
    std::uint32_t firstPiece = 0; ///< Stored: piece of the prompt that the first block holds; the others follow it.
};

/// \brief Bounds of a CacheIndex.
struct CacheIndexOptions
{
    std::size_t maximumEntries = 65536;
    std::size_t maximumRuns = 1024; ///< Runs whose keys are kept so that late events can be understood.
    std::size_t maximumBufferedEvents = 64; ///< Events kept while an earlier one is missing.
    std::chrono::milliseconds reorderTimeout{200}; ///< How long an event that is missing may still come.
    std::chrono::milliseconds initialAssumedLifetime{10000}; ///< How long a prefix is assumed to stay when no event tells.
};

/// \brief Which prefixes the engine beside this process has in its cache.
///
/// A prefix is *known* as long as the events received without a gap say that its block is there. It is *likely* while
/// it is in doubt: after a gap, or where the engine sends no events and only its answers tell how much was cached.
class CacheIndex
{
public:
    explicit CacheIndex(const CacheIndexOptions &options = {});

    /// \brief The engine is at \a incarnation. A later one than before forgets everything; an earlier one is ignored.
    void setIncarnation(std::uint64_t incarnation);

    /// \brief A run with prefixes \a keys of \a version was handed to the engine.
    void recordRunStarted(const RequestRef &ref, const ModelVersion &version, const std::vector<PrefixKey> &keys);

    /// \brief The run's whole prompt was processed, and \a cachedPieces of it were found in the cache, if the engine told.
    void recordPromptProcessed(const RequestRef &ref, std::optional<std::uint32_t> cachedPieces, Core::TimePoint now);

    void handleEvent(const CacheEvent &event, Core::TimePoint now);

    /// \brief Gives up on missing events whose time is over.
    void tick(Core::TimePoint now);

    /// \brief When tick() has something to do.
    std::optional<Core::TimePoint> nextDeadline() const;

    /// \brief Forgets all prefixes of \a version, since its weights have been unloaded.
    void removeVersion(const ModelVersion &version);

    /// \brief How many of \a keys, from the first on, are known to be cached.
    std::uint32_t confirmedPieces(const std::vector<PrefixKey> &keys) const;

    /// \brief How many of \a keys, from the first on, are known or likely to be cached.
    std::uint32_t likelyPieces(const std::vector<PrefixKey> &keys, Core::TimePoint now) const;

    std::uint64_t incarnation() const;

    /// \brief The event up to which all were applied or given up; what is known is known as of this event.
    std::uint64_t lastSequence() const;
    std::size_t size() const;

    /// \brief Times that events were lost for good.
    std::uint64_t lostEventGaps() const;

private:
    struct Entry
    {
        PrefixKey key{};
        BlockId block{};
        Core::TimePoint assumedUntil; ///< When it is no longer taken to be there without an event that says so.
        std::uint32_t generation = 0; ///< Gaps that had happened when the block was filled.
        std::uint16_t version = 0;
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
    std::uint16_t versionNumber(const ModelVersion &version);
    const Run *findRun(const RequestRef &ref) const;
    void applyReady(Core::TimePoint now);
    void apply(const CacheEvent &event);
    void applyStored(const CacheEvent &event);
    void applyRemoved(const CacheEvent &event);
    void skipMissingEvents(Core::TimePoint now);
    void assumeCached(const Run &run, std::size_t piece, Core::TimePoint now);
    void updateAssumedLifetime(const Run &run, std::uint32_t cachedPieces, Core::TimePoint now);
    Entry &entryFor(PrefixKey key);
    void erase(EntryList::iterator entry);
    void clear();

    CacheIndexOptions m_options;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_lastSequence = 0;
    std::uint32_t m_generation = 0;
    bool m_hasEvents = false;
    std::chrono::milliseconds m_assumedLifetime;
    std::map<std::uint64_t, CacheEvent> m_bufferedEvents;
    std::optional<Core::TimePoint> m_gapDeadline;
    Core::TimePoint m_uncertainUntil; ///< Until then, what the last gap put in doubt is still taken to be likely.
    EntryList m_entries; ///< Most recently used first.
    std::unordered_map<PrefixKey, EntryList::iterator> m_byKey;
    std::unordered_map<BlockId, EntryList::iterator> m_byBlock;
    std::unordered_map<RequestRef, Run, RequestRefHash> m_runs;
    std::deque<RequestRef> m_runOrder;
    std::vector<ModelVersion> m_versions;
};

} // namespace Verbena::Decisions
