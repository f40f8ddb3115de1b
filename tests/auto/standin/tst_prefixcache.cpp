#include <standin/prefixcache.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace Verbena::Standin {

namespace {

/// Simple reference implementation of the cache; the most recently used piece comes first.
class ReferenceCache
{
public:
    explicit ReferenceCache(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    std::size_t lookUp(const std::vector<PieceHash> &pieces)
    {
        std::size_t count = 0;
        while (count < pieces.size() && std::ranges::find(m_pieces, pieces[count]) != m_pieces.end()) {
            ++count;
        }
        for (std::size_t i = count; i > 0; --i) {
            m_pieces.erase(std::ranges::find(m_pieces, pieces[i - 1]));
            m_pieces.insert(m_pieces.begin(), pieces[i - 1]);
        }
        return count;
    }

    void store(std::vector<PieceHash> pieces)
    {
        pieces.resize(std::min(pieces.size(), m_capacity));
        for (const PieceHash piece : pieces) {
            if (std::ranges::find(m_pieces, piece) == m_pieces.end()) {
                m_pieces.insert(m_pieces.begin(), piece);
            }
        }
        lookUp(pieces);
        m_pieces.resize(std::min(m_pieces.size(), m_capacity));
    }

private:
    std::size_t m_capacity;
    std::vector<PieceHash> m_pieces;
};

// Returns a random path in a tree with three branches at each of four levels. Equal hashes are equal prefixes.
std::vector<PieceHash> somePrompt()
{
    std::vector<PieceHash> pieces;
    std::uint64_t hash = 1;
    const int depth = *rc::gen::inRange(0, 5);
    for (int i = 0; i < depth; ++i) {
        hash = hash * 3 + *rc::gen::inRange<std::uint64_t>(0, 3);
        pieces.push_back(PieceHash(hash));
    }
    return pieces;
}

TEST(PrefixCacheTest, matchesTheReferenceCacheAndItsOwnEvents)
{
    EXPECT_TRUE(rc::check("use and store", [] {
        const auto capacity = *rc::gen::inRange<std::size_t>(1, 12);
        PrefixCache cache(capacity);
        ReferenceCache reference(capacity);
        for (int i = 0; i < 40; ++i) {
            const std::vector<PieceHash> prompt = somePrompt();
            RC_ASSERT(cache.lookUp(prompt) == reference.lookUp(prompt));
            cache.store(PieceHash{}, prompt, "request", Core::TimePoint{});
            reference.store(prompt);
            RC_ASSERT(cache.size() <= capacity);
        }
        std::vector<PieceHash> cached;
        std::uint64_t sequence = 0;
        for (const CacheEvent &event : cache.events()) {
            RC_ASSERT(event.sequence == ++sequence);
            if (event.kind == CacheEvent::Kind::Stored) {
                cached.push_back(event.piece);
            } else {
                RC_ASSERT(std::erase(cached, event.piece) == 1U);
            }
        }
        RC_ASSERT(cached.size() == cache.size());
        RC_ASSERT(std::ranges::all_of(cached, [&cache](PieceHash piece) { return cache.contains(piece); }));
    }));
}

} // namespace

} // namespace Verbena::Standin
