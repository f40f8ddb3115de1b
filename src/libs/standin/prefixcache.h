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

/// \brief The engine stand-in's own name of a piece and all pieces before it.
enum class PieceHash : std::uint64_t {};

/// \brief A piece was stored in a cache or removed from it.
struct CacheEvent
{
    enum class Kind { Stored, Removed };

    std::uint64_t sequence = 0; ///< Counts from 1 in each incarnation.
    Kind kind = Kind::Stored;
    PieceHash piece{};
    PieceHash parent{}; ///< The piece before; the root of its scope for the first.
    std::uint32_t position = 0; ///< Which piece of its prompt it is, from 0.
    std::string request; ///< For whom it was stored; empty when removed.
    Core::TimePoint moment;
};

/// \brief A prefix cache of limited pieces; the least recently used piece goes first, of one prompt the deepest.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity);

    /// \brief How many of the leading \a pieces are cached; marks these as used.
    std::size_t use(std::span<const PieceHash> pieces);

    /// \brief Stores those of \a pieces, a chain from \a root, that are missing.
    void store(PieceHash root, std::span<const PieceHash> pieces, const std::string &request, Core::TimePoint now);

    /// \brief Removes everything.
    void clear(Core::TimePoint now);

    bool contains(PieceHash piece) const;
    std::size_t size() const;

    /// \brief What happened, oldest first; a limited number is kept.
    const std::deque<CacheEvent> &events() const;

private:
    void touch(PieceHash piece);
    void evictOne(Core::TimePoint now);
    void note(CacheEvent event);

    std::size_t m_capacity;
    std::list<PieceHash> m_order; ///< The most recently used first.
    std::unordered_map<PieceHash, std::list<PieceHash>::iterator> m_pieces;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_lastSequence = 0;
};

} // namespace Verbena::Standin
