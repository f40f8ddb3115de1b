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
        entries.push_back(known == nullptr ? Entry{std::move(order), {}} : *known);
    }
    m_entries = std::move(entries);
}

bool OrderPlan::isLeaseWanted() const
{
    return !m_entries.empty() || m_pendingOrder;
}

bool OrderPlan::isPermitWanted() const
{
    const auto isLoad = [](const Entry &entry) {
        return entry.order.kind == ModelOrder::Kind::Load;
    };
    return std::any_of(m_entries.begin(), m_entries.end(), isLoad) || (m_pendingOrder && m_pendingOrder->kind == ModelOrder::Kind::Load);
}

std::optional<EngineOrder> OrderPlan::nextOrder(const Lease &engineLease, const Lease &permit, Core::TimePoint now) const
{
    // Only one order at a time, because the effect of an unanswered order is not known yet.
    if (!engineLease.isHeld(now) || m_pendingOrder) {
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

// The lease may have been released and acquired again since, so the fencing number is compared in addition to the deadline.
bool OrderPlan::maySend(const EngineOrder &order, const Lease &engineLease, const Lease &permit, Core::TimePoint now) const
{
    const bool isLoad = order.order.kind == ModelOrder::Kind::Load;
    const bool isLeaseHeld = engineLease.isHeld(now) && engineLease.fencingNumber() == order.fencingNumber;
    return isLeaseHeld && (!isLoad || permit.isHeld(now)) && m_guard.maySend(order.sendBy, now);
}

void OrderPlan::recordSent(const EngineOrder &order, Core::TimePoint now)
{
    m_pendingOrder = order.order;
    if (Entry *entry = find(order.order)) {
        entry->notBefore = now + m_options.repeatInterval;
    }
}

void OrderPlan::recordAnswer(const EngineOrder &order, OrderAnswer answer, Core::TimePoint now)
{
    m_pendingOrder.reset();
    if (Entry *entry = find(order.order)) {
        // After a lost answer the order is repeated soon; otherwise its effect should show in the loaded models of the engine first.
        entry->notBefore = now + (answer == OrderAnswer::Unknown ? m_options.retryInterval : m_options.repeatInterval);
    }
}

std::optional<Core::TimePoint> OrderPlan::nextDeadline() const
{
    if (m_entries.empty() || m_pendingOrder) {
        return std::nullopt;
    }
    const auto isSooner = [](const Entry &left, const Entry &right) {
        return left.notBefore < right.notBefore;
    };
    return std::min_element(m_entries.begin(), m_entries.end(), isSooner)->notBefore;
}

OrderPlan::Entry *OrderPlan::find(const ModelOrder &order)
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry &entry) { return entry.order == order; });
    return found == m_entries.end() ? nullptr : &*found;
}

} // namespace Verbena::Decisions
