#include "prefixcache.h"

namespace Verbena::Standin {

namespace {

constexpr std::size_t maximumEvents = 100'000;

} // namespace

PrefixCache::PrefixCache(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::size_t PrefixCache::lookUp(std::span<const PieceHash> pieces)
{
    std::size_t count = 0;
    while (count < pieces.size() && contains(pieces[count])) {
        ++count;
    }
    // Touches the deepest piece first, so that it is evicted before the pieces it depends on.
    for (std::size_t i = count; i > 0; --i) {
        touch(pieces[i - 1]);
    }
    return count;
}

void PrefixCache::store(PieceHash root, std::span<const PieceHash> pieces, const std::string &request, Core::TimePoint now)
{
    // Leaves out the deep pieces that don't fit, as the shallow pieces are shared by more prompts.
    pieces = pieces.first(std::min(pieces.size(), m_capacity));
    PieceHash parent = root;
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        if (!contains(pieces[i])) {
            m_lruOrder.push_front(pieces[i]);
            m_pieces.emplace(pieces[i], m_lruOrder.begin());
            recordEvent({0, CacheEvent::Kind::Stored, pieces[i], parent, static_cast<std::uint32_t>(i), request, now});
        }
        parent = pieces[i];
    }
    lookUp(pieces);
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
    m_lruOrder.splice(m_lruOrder.begin(), m_lruOrder, m_pieces.at(piece));
}

void PrefixCache::evictOne(Core::TimePoint now)
{
    const PieceHash piece = m_lruOrder.back();
    m_lruOrder.pop_back();
    m_pieces.erase(piece);
    recordEvent({0, CacheEvent::Kind::Removed, piece, PieceHash{}, 0, "", now});
}

void PrefixCache::recordEvent(CacheEvent event)
{
    event.sequence = ++m_lastSequence;
    m_events.push_back(std::move(event));
    if (m_events.size() > maximumEvents) {
        m_events.pop_front();
    }
}

} // namespace Verbena::Standin
