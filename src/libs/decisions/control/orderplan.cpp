#include "orderplan.h"

#include <algorithm>

namespace Verbena::Decisions {

FencingGuard::FencingGuard(std::chrono::milliseconds margin)
    : m_margin(margin)
{
}

bool FencingGuard::maySend(Core::TimePoint sendBy, Core::TimePoint now) const
{
    return now + m_margin < sendBy;
}

OrderPlan::OrderPlan(const OrderPlanOptions &options)
    : m_options(options)
    , m_guard(options.sendMargin)
{
}

void OrderPlan::setOrders(std::vector<ModelOrder> orders)
{
    std::vector<Entry> entries;
    for (ModelOrder &order : orders) {
        const Entry *known = find(order);
        entries.push_back(known == nullptr ? Entry{std::move(order), {}, false} : *known);
    }
    m_entries = std::move(entries);
}

bool OrderPlan::isLeaseWanted() const
{
    return !m_entries.empty();
}

bool OrderPlan::isPermitWanted() const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [](const Entry &entry) { return entry.order.kind == ModelOrder::Kind::Load; });
}

std::optional<EngineOrder> OrderPlan::nextOrder(const Lease &engineLease, const Lease &permit, Core::TimePoint now) const
{
    if (!engineLease.isHeld(now)) {
        return std::nullopt;
    }
    // One at a time: the effect of an order that is under way is not known yet.
    if (std::any_of(m_entries.begin(), m_entries.end(), [](const Entry &entry) { return entry.isUnderWay; })) {
        return std::nullopt;
    }
    for (const Entry &entry : m_entries) {
        const bool isLoad = entry.order.kind == ModelOrder::Kind::Load;
        if (now < entry.notBefore || (isLoad && !permit.isHeld(now))) {
            continue;
        }
        const Core::TimePoint sendBy = isLoad ? std::min(engineLease.heldUntil(), permit.heldUntil()) : engineLease.heldUntil();
        if (m_guard.maySend(sendBy, now)) {
            return EngineOrder{entry.order, engineLease.fencingNumber(), sendBy};
        }
    }
    return std::nullopt;
}

bool OrderPlan::maySend(const EngineOrder &order, Core::TimePoint now) const
{
    return m_guard.maySend(order.sendBy, now);
}

void OrderPlan::noteSent(const EngineOrder &order, Core::TimePoint now)
{
    Entry *entry = find(order.order);
    if (entry != nullptr) {
        entry->isUnderWay = true;
        entry->notBefore = now + m_options.repeatInterval;
    }
}

void OrderPlan::noteAnswer(const EngineOrder &order, OrderAnswer answer, Core::TimePoint now)
{
    Entry *entry = find(order.order);
    if (entry == nullptr) {
        return;
    }
    entry->isUnderWay = false;
    // A lost answer is repeated at once; anything else waits to be seen in what the engine holds.
    entry->notBefore = answer == OrderAnswer::Unknown ? now : now + m_options.repeatInterval;
}

std::optional<Core::TimePoint> OrderPlan::nextDeadline() const
{
    std::optional<Core::TimePoint> next;
    for (const Entry &entry : m_entries) {
        if (entry.isUnderWay) {
            return std::nullopt;
        }
        next = next ? std::min(*next, entry.notBefore) : entry.notBefore;
    }
    return next;
}

OrderPlan::Entry *OrderPlan::find(const ModelOrder &order)
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry &entry) { return entry.order == order; });
    return found == m_entries.end() ? nullptr : &*found;
}

} // namespace Verbena::Decisions
