#include "heldqueue.h"

#include <algorithm>

namespace Verbena::Soak {

void HeldQueue::add(Item item)
{
    if (!m_items.empty()) {
        item.at = std::max(item.at, m_items.back().at);
    }
    m_bytes += item.bytes.size();
    m_items.push_back(std::move(item));
}

const HeldQueue::Item *HeldQueue::due(Core::TimePoint now) const
{
    return m_items.empty() || m_items.front().at > now ? nullptr : &m_items.front();
}

HeldQueue::Item HeldQueue::take()
{
    Item item = std::move(m_items.front());
    m_items.pop_front();
    m_bytes -= item.bytes.size();
    return item;
}

std::optional<Core::TimePoint> HeldQueue::nextTime() const
{
    return m_items.empty() ? std::nullopt : std::optional(m_items.front().at);
}

std::size_t HeldQueue::bytes() const
{
    return m_bytes;
}

} // namespace Verbena::Soak
