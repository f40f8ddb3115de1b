#pragma once

#include <core/time.h>

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Verbena::Standin {

/// \brief Hash that the engine stand-in uses for a piece together with all pieces before it.
enum class PieceHash : std::uint64_t {};

/// \brief Event: a piece was stored in a cache or removed from it.
struct CacheEvent
{
    enum class Kind { Stored, Removed };

    std::uint64_t sequence = 0; ///< Counts from 1 in each incarnation.
    Kind kind = Kind::Stored;
    PieceHash piece{};
    PieceHash parent{}; ///< Hash of the preceding piece; the root of its scope for the first piece.
    std::uint32_t position = 0; ///< Index of the piece in its prompt, from 0.
    std::string request; ///< Request for which the piece was stored; empty for removals.
    Core::TimePoint recordedAt;
};

/// \brief Prefix cache with a limited number of pieces. Evicts the least recently used piece; of the pieces of one prompt, the deepest is evicted first.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity);

    /// \brief Returns how many of the leading \a pieces are cached and marks these as used.
    std::size_t lookUp(std::span<const PieceHash> pieces);

    /// \brief Stores the missing pieces of \a pieces, a chain that starts at \a root.
    void store(PieceHash root, std::span<const PieceHash> pieces, const std::string &request, Core::TimePoint now);

    /// \brief Removes all pieces.
    void clear(Core::TimePoint now);

    bool contains(PieceHash piece) const;
    std::size_t size() const;

    /// \brief Returns the most recent events, oldest first. Their number is limited.
    const std::deque<CacheEvent> &events() const;

private:
    void touch(PieceHash piece);
    void evictOne(Core::TimePoint now);
    void recordEvent(CacheEvent event);

    std::size_t m_capacity;
    std::list<PieceHash> m_lruOrder; ///< Pieces by use, the most recently used first.
    std::unordered_map<PieceHash, std::list<PieceHash>::iterator> m_pieces;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_lastSequence = 0;
};

} // namespace Verbena::Standin
