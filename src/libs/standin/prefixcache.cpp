#include "prefixcache.h"

namespace Verbena::Standin {

namespace {

constexpr std::size_t maximumEvents = 100'000;

} // namespace

PrefixCache::PrefixCache(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::size_t PrefixCache::use(std::span<const PieceHash> pieces)
{
    std::size_t count = 0;
    while (count < pieces.size() && contains(pieces[count])) {
        ++count;
    }
    // The deepest is touched first, so that it is evicted before the pieces it builds on.
    for (std::size_t i = count; i > 0; --i) {
        touch(pieces[i - 1]);
    }
    return count;
}

void PrefixCache::store(PieceHash root, std::span<const PieceHash> pieces, const std::string &request, Core::TimePoint now)
{
    // What does not fit stays out: the shallow pieces are worth more.
    pieces = pieces.first(std::min(pieces.size(), m_capacity));
    PieceHash parent = root;
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        if (!contains(pieces[i])) {
            m_order.push_front(pieces[i]);
            m_pieces.emplace(pieces[i], m_order.begin());
            note({0, CacheEvent::Kind::Stored, pieces[i], parent, static_cast<std::uint32_t>(i), request, now});
        }
        parent = pieces[i];
    }
    use(pieces);
    while (m_pieces.size() > m_capacity) {
        evictOne(now);
    }
}

void PrefixCache::clear(Core::TimePoint now)
{
    while (!m_pieces.empty()) {
        evictOne(now);
    }
}

bool PrefixCache::contains(PieceHash piece) const
{
    return m_pieces.contains(piece);
}

std::size_t PrefixCache::size() const
{
    return m_pieces.size();
}

const std::deque<CacheEvent> &PrefixCache::events() const
{
    return m_events;
}

void PrefixCache::touch(PieceHash piece)
{
    m_order.splice(m_order.begin(), m_order, m_pieces.at(piece));
}

void PrefixCache::evictOne(Core::TimePoint now)
{
    const PieceHash piece = m_order.back();
    m_order.pop_back();
    m_pieces.erase(piece);
    note({0, CacheEvent::Kind::Removed, piece, PieceHash{}, 0, "", now});
}

void PrefixCache::note(CacheEvent event)
{
    event.sequence = ++m_lastSequence;
    m_events.push_back(std::move(event));
    if (m_events.size() > maximumEvents) {
        m_events.pop_front();
    }
}

} // namespace Verbena::Standin
